"""One measured gateway among its fake services, and the work that a control run gives it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import psutil

from .environment import Environment
from .errors import CallTimeoutError, RunError
from .result import Result
from .supervisor import WorkerProcess

SINGLE_CHANGE_RATE = 8.0
"""Changes a second that come one at a time: the loop is idle between them."""

BURST_TIMEOUT_S = 60.0
"""How long anything but a burst of single messages may take."""

ANSWER_SLACK_S = 3.0
"""Over its patience, until a process that does not answer counts as held up."""


@dataclass
class ControlBench:
    """A measured gateway, and the discovery that announces changes to it."""

    environment: Environment
    gateway: WorkerProcess
    result: Result
    phase: str
    single_changes: int  # that come one at a time
    start_figures: dict[str, Any] = field(default_factory=dict)

    async def idle_ms(self) -> float:
        """Return the milliseconds of processor time without changes, between two that come one at a time."""
        await self._begin()
        await asyncio.sleep(self.single_changes / SINGLE_CHANGE_RATE)
        figures = await self.gateway.call("end", patience_s=0.0)
        return float(figures["cpu_ms"]) / self.single_changes

    async def run_single_changes(self) -> dict[str, Any]:
        """Announce changes one at a time."""
        await self._begin()
        seconds = self.single_changes / SINGLE_CHANGE_RATE
        await self._discovery_call("announce_evenly", rate=SINGLE_CHANGE_RATE, seconds=seconds)
        return await self._end(await self._prepare([]), BURST_TIMEOUT_S)

    async def run_burst(self, counts: list[int]) -> dict[str, Any]:
        """Announce watch events of so many changes each, written at once."""
        batch_id = await self._prepare(counts)
        await self._begin()
        return await self._end(batch_id, BURST_TIMEOUT_S)

    async def run_messages(self, count: int, patience_s: float) -> dict[str, Any]:
        """Announce so many watch events of one change each, written at once.

        A process that is not done after `patience_s`, or no longer answers, took at least what it has taken
        until then; `done` tells.
        """
        batch_id = await self._prepare([1] * count)
        await self._begin()
        cpu_before_s = self._gateway_cpu_s()
        try:
            return await self._end(batch_id, patience_s, must_finish=False)
        except CallTimeoutError:
            cpu_ms = (self._gateway_cpu_s() - cpu_before_s) * 1000
            gap = {"cpu": cpu_ms, "wall": (patience_s + ANSWER_SLACK_S) * 1000}
            return {"done": False, "cpu_ms": cpu_ms, "longest": gap, "most": gap}

    async def read(self) -> dict[str, Any]:
        """Return what the fakes counted, and note how late they ran."""
        return await self.environment.read(self.result, self.phase)

    def _gateway_cpu_s(self) -> float:
        times = psutil.Process(self.gateway.pid).cpu_times()
        return float(times.user + times.system)

    async def _discovery_call(self, method: str, **arguments: Any) -> Any:
        return await self.environment.discovery.call(method, **arguments)

    async def _prepare(self, counts: list[int]) -> int:
        batch_id: int = await self._discovery_call("prepare", counts=counts, marked=True)
        return batch_id

    async def _begin(self) -> None:
        await self.environment.begin()
        await self.gateway.call("begin", marker_host=await self._discovery_call("marker_host"))

    async def _end(self, batch_id: int, patience_s: float, *, must_finish: bool = True) -> dict[str, Any]:
        """Announce what is left, the marker last; return what all took, up to the marker's application.

        Raises:
            RunError: it must finish and was not applied in time.
        """
        await self._discovery_call("announce", batch_id=batch_id)
        timeout_s = patience_s + ANSWER_SLACK_S
        figures: dict[str, Any] = await self.gateway.call("end", patience_s=patience_s, timeout_s=timeout_s)
        if must_finish and not figures["done"]:
            raise RunError(f"{self.phase}: changes were not in force within {patience_s:g} s")
        await self.read()
        return figures
