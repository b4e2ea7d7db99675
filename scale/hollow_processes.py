"""Lets the main process start and call the worker processes of the hollow gateways."""

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
    """Processor time, memory and requests of all hollow gateways together in a phase."""

    cpu_ms_per_s: float
    rss_mb: float
    sent: int
    served: int

    @classmethod
    def add_up(cls, figures: Sequence[HollowFigures]) -> HollowTotals:
        """Return the sums of the figures of all processes."""
        return cls(
            cpu_ms_per_s=sum(process["cpu_s"] / process["seconds"] for process in figures) * 1000,
            rss_mb=sum(process["rss_mb"] for process in figures),
            sent=sum(process["sent"] for process in figures),
            served=sum(process["served"] for process in figures),
        )


class HollowProcesses:
    """The worker processes that run the hollow gateways of a fleet."""

    def __init__(self, workers: Sequence[WorkerProcess], state_mb: float) -> None:
        """`state_mb` is the mean memory that the state of a hollow gateway takes, in MB."""
        self._workers = workers
        self.state_mb = state_mb

    @classmethod
    async def start(
        cls, supervisor: Supervisor, program: str, configs: Sequence[dict[str, Any]], *, processes: int
    ) -> HollowProcesses:
        """Start a hollow gateway for each configuration, spread over at most `processes` processes.

        `program` is the checkout that the processes run.
        """
        configs_by_process = [configs[offset::processes] for offset in range(min(processes, len(configs)))]
        workers = [await supervisor.start("hollow", Path(program)) for _ in configs_by_process]
        starts = (
            worker.call(
                "start",
                configs=process_configs,
                timeout_s=START_TIMEOUT_S + len(process_configs) * CALL_TIMEOUT_S,
            )
            for worker, process_configs in zip(workers, configs_by_process, strict=True)
        )
        figures: list[HollowStartMemory] = await asyncio.gather(*starts)
        growth_mb = sum(process["after_mb"] - process["before_mb"] for process in figures)
        return cls(workers, growth_mb / len(configs))

    async def begin_phase(self) -> None:
        """Begin a measured phase in all processes."""
        await self._call_all(0.0, "begin")

    async def read_totals(self) -> HollowTotals:
        """Return the totals of all hollow gateways since `begin_phase`."""
        return HollowTotals.add_up(await self._call_all(0.0, "read"))

    async def send_requests(self, customers: CustomerPopulation, *, rate: float, seconds: float) -> None:
        """Send each gateway `rate` requests a second of the customers it serves, for `seconds` seconds."""
        await self._call_all(seconds, "send_requests", customers=customers, rate=rate, seconds=seconds)

    async def propagation_delays(
        self, changes: Sequence[AnnouncedChange], timeout_s: float
    ) -> list[list[float]]:
        """Return, for each change and gateway, the milliseconds until the gateway applied the change.

        `propagation.NOT_APPLIED` stands for a change that the gateway did not apply within `timeout_s`.
        """
        delays_by_process: list[list[list[float]]] = await self._call_all(
            timeout_s,
            "propagation_delays",
            hosts=[change.host for change in changes],
            announced_at=[change.announced_at for change in changes],
            wait_s=timeout_s,
        )
        return [
            [delay_ms for delays in delays_by_process for delay_ms in delays[index]]
            for index in range(len(changes))
        ]

    async def _call_all(self, duration_s: float, method: str, **arguments: Any) -> list[Any]:
        """Call a method that runs for `duration_s` in all processes, and return the results."""
        calls = (worker.call_lasting(duration_s, method, **arguments) for worker in self._workers)
        return await asyncio.gather(*calls)
