"""The processes of hollow gateways, as the leading process starts and calls them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .customers import CustomerPopulation
from .environment import START_TIMEOUT_S
from .figures import HollowFigures, HollowStartMemory
from .propagation import AnnouncedChange
from .supervisor import CALL_TIMEOUT_S, Supervisor, WorkerProcess


@dataclass(frozen=True, kw_only=True)
class HollowTotals:
    """What all hollow gateways together took in a phase."""

    cpu_ms_per_s: float
    rss_mb: float
    sent: int
    served: int

    @classmethod
    def add_up(cls, figures: Sequence[HollowFigures]) -> HollowTotals:
        """Return the totals over all processes."""
        return cls(
            cpu_ms_per_s=sum(process["cpu_s"] / process["seconds"] for process in figures) * 1000,
            rss_mb=sum(process["rss_mb"] for process in figures),
            sent=sum(process["sent"] for process in figures),
            served=sum(process["served"] for process in figures),
        )


class HollowProcesses:
    """The processes of the hollow gateways of a fleet."""

    def __init__(self, workers: Sequence[WorkerProcess], state_mb: float) -> None:
        """`state_mb` is the memory that the state of each gateway takes."""
        self._workers = workers
        self.state_mb = state_mb

    @classmethod
    async def start(
        cls, supervisor: Supervisor, program: str, configs: Sequence[dict[str, Any]], *, processes: int
    ) -> HollowProcesses:
        """Start a hollow gateway of a checkout for each configuration, spread over so many processes."""
        by_process = [configs[place::processes] for place in range(min(processes, len(configs)))]
        workers = [await supervisor.start("hollow", Path(program)) for _ in by_process]
        starts = (
            worker.call("start", configs=part, timeout_s=START_TIMEOUT_S + len(part) * CALL_TIMEOUT_S)
            for worker, part in zip(workers, by_process, strict=True)
        )
        figures: list[HollowStartMemory] = await asyncio.gather(*starts)
        grown_mb = sum(process["after_mb"] - process["before_mb"] for process in figures)
        return cls(workers, grown_mb / len(configs))

    async def begin(self) -> None:
        """Measure from here on."""
        await self._call_all(0.0, "begin")

    async def read(self) -> HollowTotals:
        """Return what all gateways took since `begin`."""
        return HollowTotals.add_up(await self._call_all(0.0, "read"))

    async def send_requests(self, customers: CustomerPopulation, *, rate: float, seconds: float) -> None:
        """Give each gateway `rate` requests a second of its customers, for so many seconds."""
        await self._call_all(seconds, "send_requests", customers=customers, rate=rate, seconds=seconds)

    async def propagation_delays(
        self, changes: Sequence[AnnouncedChange], timeout_s: float
    ) -> list[list[float]]:
        """Return the delay of each change, one a gateway, in milliseconds.

        `propagation.NOT_APPLIED` stands for a change that was not applied within `timeout_s`.
        """
        by_process: list[list[list[float]]] = await self._call_all(
            timeout_s,
            "propagation_delays",
            hosts=[change.host for change in changes],
            announced_at=[change.at for change in changes],
            wait_s=timeout_s,
        )
        return [
            [delay_ms for delays in by_process for delay_ms in delays[place]] for place in range(len(changes))
        ]

    async def _call_all(self, duration_s: float, method: str, **arguments: Any) -> list[Any]:
        """Call a method of all processes, which takes `duration_s` by itself."""
        calls = (worker.call_lasting(duration_s, method, **arguments) for worker in self._workers)
        return await asyncio.gather(*calls)
