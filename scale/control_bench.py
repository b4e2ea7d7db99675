"""One measured gateway among its fake services, and the work that a control run gives it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import psutil

from .environment import Environment
from .errors import CallTimeoutError, RunError
from .figures import ControlWork, StartWork, SteadyWork
from .result import Result
from .supervisor import WorkerProcess

SINGLE_CHANGE_RATE = 8.0
"""Changes a second that come one at a time: the event loop is idle between them."""

BURST_TIMEOUT_S = 60.0
"""How long anything but a burst of single messages may take."""

RESPONSE_SLACK_S = 3.0
"""How long a process may take to respond after the time-out of its work, before it counts as stalled."""


@dataclass(kw_only=True)
class ControlBench:
    """A measured gateway, and the discovery that announces changes to it."""

    environment: Environment
    gateway: WorkerProcess
    result: Result
    phase: str
    """What the result calls the timer lag of the fakes."""

    single_changes: int
    """Changes that come one at a time."""

    start_work: StartWork

    async def idle_cpu_ms(self) -> float:
        """Return the processor time without changes, in as much time as lies between two single changes."""
        await self._begin()
        await asyncio.sleep(self.single_changes / SINGLE_CHANGE_RATE)
        work: ControlWork = await self.gateway.call("end", wait_s=0.0)
        return work["cpu_ms"] / self.single_changes

    async def run_single_changes(self) -> ControlWork:
        """Announce changes one at a time."""
        await self._begin()
        seconds = self.single_changes / SINGLE_CHANGE_RATE
        await self.environment.discovery.call("announce_evenly", rate=SINGLE_CHANGE_RATE, seconds=seconds)
        return await self._finish(await self._prepare([]), BURST_TIMEOUT_S)

    async def run_burst(self, counts: list[int]) -> ControlWork:
        """Announce watch events of so many changes each, written at once."""
        batch_id = await self._prepare(counts)
        await self._begin()
        return await self._finish(batch_id, BURST_TIMEOUT_S)

    async def run_single_messages(self, count: int, timeout_s: float) -> ControlWork:
        """Announce so many watch events of one change each, written at once.

        Work that is not complete after `timeout_s`, or whose process no longer responds, took at least what
        is returned.
        """
        batch_id = await self._prepare([1] * count)
        await self._begin()
        cpu_before_s = self._gateway_cpu_s()
        try:
            return await self._end(batch_id, timeout_s)
        except CallTimeoutError:
            cpu_ms = (self._gateway_cpu_s() - cpu_before_s) * 1000
            return {
                "is_complete": False,
                "cpu_ms": cpu_ms,
                "max_stall_cpu_ms": cpu_ms,
                "max_stall_wall_ms": (timeout_s + RESPONSE_SLACK_S) * 1000,
            }

    async def run_steadily(self, *, change_rate: float, request_rate: float, seconds: float) -> SteadyWork:
        """Announce changes and send requests at even rates, each a second."""
        await self.environment.begin_phase()
        announced = self.environment.discovery.call_lasting(
            seconds, "announce_evenly", rate=change_rate, seconds=seconds
        )
        worked = self.gateway.call_lasting(
            seconds, "run_steadily", request_rate=request_rate, seconds=seconds
        )
        work: SteadyWork
        work, _ = await asyncio.gather(worked, announced)
        return work

    async def apply_backlog(self) -> None:
        """Wait until all announced changes are applied, so that none is measured in the next phase."""
        await self.run_burst([])

    async def read(self) -> dict[str, Any]:
        """Return what the fakes counted, and note their timer lag."""
        return await self.environment.read_counts(self.result, self.phase)

    def _gateway_cpu_s(self) -> float:
        times = psutil.Process(self.gateway.pid).cpu_times()
        return float(times.user + times.system)

    async def _prepare(self, counts: list[int]) -> int:
        """Prepare watch events and the marker's; return the batch's id."""
        batch_id: int = await self.environment.discovery.call("prepare", counts=counts, with_marker=True)
        return batch_id

    async def _begin(self) -> None:
        await self.environment.begin_phase()
        marker_host = await self.environment.discovery.call("marker_host")
        await self.gateway.call("begin", marker_host=marker_host)

    async def _end(self, batch_id: int, timeout_s: float) -> ControlWork:
        """Announce a batch; return what all took, up to the marker's application or the time-out."""
        await self.environment.discovery.call("announce", batch_id=batch_id)
        work: ControlWork = await self.gateway.call(
            "end", wait_s=timeout_s, timeout_s=timeout_s + RESPONSE_SLACK_S
        )
        await self.read()
        return work

    async def _finish(self, batch_id: int, timeout_s: float) -> ControlWork:
        """Announce a batch and wait until it is applied; return what all took.

        Raises:
            RunError: it was not applied in time.
        """
        work = await self._end(batch_id, timeout_s)
        if not work["is_complete"]:
            raise RunError(f"{self.phase}: announced changes were not applied within {timeout_s:g} s")
        return work
