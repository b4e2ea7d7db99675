"""The measured gateway of a control run with its fake services, and the phases that it is measured in."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import psutil

from .environment import Environment
from .errors import CallTimeoutError, RunError
from .figures import ControlMeasurement, StartMeasurement, SteadyMeasurement
from .result import Result
from .supervisor import WorkerProcess

SINGLE_CHANGE_RATE = 8.0
"""Single changes announced per second; at this rate the event loop is idle between two changes."""

BURST_TIMEOUT_S = 60.0
"""Timeout for applying single changes, a burst in one message or a backlog, in seconds."""

RESPONSE_SLACK_S = 3.0
"""Seconds that a worker may take to respond after its work timed out, before it counts as stalled."""


@dataclass(kw_only=True)
class ControlBench:
    """A measured gateway, and the fake discovery that announces changes to it."""

    environment: Environment
    gateway: WorkerProcess
    result: Result
    phase: str
    """Name of the phase under which the result keeps the timer lag of the fakes."""

    single_changes: int
    """Number of changes that are announced one at a time."""

    start_measurement: StartMeasurement

    async def measure_idle_cpu_ms(self) -> float:
        """Return the idle processor time in ms per interval between two single changes."""
        await self._begin_phase()
        await asyncio.sleep(self.single_changes / SINGLE_CHANGE_RATE)
        measurement: ControlMeasurement = await self.gateway.call("end", wait_s=0.0)
        return measurement["cpu_ms"] / self.single_changes

    async def run_single_changes(self) -> ControlMeasurement:
        """Announce changes one at a time; return the gateway's measurement.

        Raises:
            RunError: the changes were not applied within `BURST_TIMEOUT_S`.
        """
        await self._begin_phase()
        seconds = self.single_changes / SINGLE_CHANGE_RATE
        await self.environment.discovery.call("announce_evenly", rate=SINGLE_CHANGE_RATE, seconds=seconds)
        return await self._announce_until_applied(await self._prepare_batch([]), BURST_TIMEOUT_S)

    async def run_burst(self, event_sizes: list[int]) -> ControlMeasurement:
        """Announce watch events with these numbers of changes in one write; return the measurement.

        Raises:
            RunError: the changes were not applied within `BURST_TIMEOUT_S`.
        """
        batch_id = await self._prepare_batch(event_sizes)
        await self._begin_phase()
        return await self._announce_until_applied(batch_id, BURST_TIMEOUT_S)

    async def run_single_messages(self, message_count: int, timeout_s: float) -> ControlMeasurement:
        """Announce `message_count` watch events of one change each in one write; return the measurement.

        If the gateway does not apply all of them within `timeout_s`, or no longer responds, the returned
        values are lower bounds.
        """
        batch_id = await self._prepare_batch([1] * message_count)
        await self._begin_phase()
        cpu_before_s = self._gateway_cpu_s()
        try:
            return await self._announce_batch(batch_id, timeout_s)
        except CallTimeoutError:
            cpu_ms = (self._gateway_cpu_s() - cpu_before_s) * 1000
            return {
                "is_complete": False,
                "cpu_ms": cpu_ms,
                "max_stall_cpu_ms": cpu_ms,
                "max_stall_wall_ms": (timeout_s + RESPONSE_SLACK_S) * 1000,
            }

    async def run_steadily(
        self, *, change_rate: float, request_rate: float, seconds: float
    ) -> SteadyMeasurement:
        """Announce changes and send requests, both at even rates per second; return the measurement."""
        await self.environment.begin_phase()
        announce_call = self.environment.discovery.call_lasting(
            seconds, "announce_evenly", rate=change_rate, seconds=seconds
        )
        gateway_call = self.gateway.call_lasting(
            seconds, "run_steadily", request_rate=request_rate, seconds=seconds
        )
        measurement: SteadyMeasurement
        measurement, _ = await asyncio.gather(gateway_call, announce_call)
        return measurement

    async def wait_for_backlog(self) -> None:
        """Wait until all announced changes are applied, so that the next phase measures none of them."""
        await self.run_burst([])

    async def read(self) -> dict[str, Any]:
        """Return the counts of the fakes, and record their timer lag in the result."""
        return await self.environment.read_counts(self.result, self.phase)

    def _gateway_cpu_s(self) -> float:
        times = psutil.Process(self.gateway.pid).cpu_times()
        return float(times.user + times.system)

    async def _prepare_batch(self, event_sizes: list[int]) -> int:
        """Prepare watch events with these numbers of changes, then one for the marker; return the batch id.

        The marker is a backend whose change, announced last, shows when the gateway has applied the batch.
        """
        batch_id: int = await self.environment.discovery.call("prepare", counts=event_sizes, with_marker=True)
        return batch_id

    async def _begin_phase(self) -> None:
        await self.environment.begin_phase()
        marker_host = await self.environment.discovery.call("marker_host")
        await self.gateway.call("begin", marker_host=marker_host)

    async def _announce_batch(self, batch_id: int, timeout_s: float) -> ControlMeasurement:
        """Announce a batch; return the measurement until the marker is applied or the timeout passes."""
        await self.environment.discovery.call("announce", batch_id=batch_id)
        measurement: ControlMeasurement = await self.gateway.call(
            "end", wait_s=timeout_s, timeout_s=timeout_s + RESPONSE_SLACK_S
        )
        await self.read()
        return measurement

    async def _announce_until_applied(self, batch_id: int, timeout_s: float) -> ControlMeasurement:
        """Announce a batch; return the measurement until it is applied.

        Raises:
            RunError: the batch was not applied within `timeout_s`.
        """
        measurement = await self._announce_batch(batch_id, timeout_s)
        if not measurement["is_complete"]:
            raise RunError(f"{self.phase}: announced changes were not applied within {timeout_s:g} s")
        return measurement
