"""One checkout's fleet, from its start to its figures."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console

from .customers import CustomerPopulation
from .environment import START_TIMEOUT_S, Environment, send_load
from .figures import (
    Announcement,
    HollowFigures,
    HollowStartFigures,
    LaunchedGatewayFigures,
    LoadSummary,
)
from .fleet_options import FleetOptions
from .machine import resident_mb
from .propagation import PropagationSummary, announced_changes, sample_changes, summarize_propagation
from .result import Result
from .supervisor import CALL_TIMEOUT_S, Supervisor, WorkerProcess

BURST_DELAY_S = 0.1
"""From the first request of a burst's window to the burst."""

CUSTOMER_NUMBER_STEP = 10_000_000
"""Distance between the customer numbers of two phases: no customer is known from an earlier phase."""

STEADY_CHANGES = "steady changes"
"""What tables and the JSON call the phase with changes at an even rate."""


class FleetCounts(NamedTuple):
    """What the fakes counted in a phase, and what the processes of hollow gateways took."""

    services: dict[str, Any]
    hollow: list[HollowFigures]

    def sent(self) -> int:
        """Return the requests of all hollow gateways."""
        return sum(process["sent"] for process in self.hollow)

    def served(self) -> int:
        """Return the served requests of all hollow gateways."""
        return sum(process["served"] for process in self.hollow)

    def rss_mb(self) -> float:
        """Return the resident memory of all processes of hollow gateways."""
        return sum(process["rss_mb"] for process in self.hollow)

    def cpu_ms_per_s(self) -> float:
        """Return the processor time of all hollow gateways, in milliseconds a second."""
        return sum(process["cpu_s"] / process["seconds"] for process in self.hollow) * 1000


class HollowGateways(NamedTuple):
    """The processes of hollow gateways, and the memory that the state of each gateway takes."""

    workers: list[WorkerProcess]
    state_mb: float


class SteadyPhaseOutcome(NamedTuple):
    """What a steady phase gave: the announced changes, the clients' figures and a hollow gateway's."""

    announcements: list[Announcement]
    requests: LoadSummary | None
    per_gateway: dict[str, float]


@dataclass(kw_only=True)
class FleetRun:
    """The processes of a fleet that is ready, and the phases that they are measured in."""

    options: FleetOptions
    result: Result
    environment: Environment
    hollow: HollowGateways
    clients: WorkerProcess
    real_pids: list[int]

    @classmethod
    async def start(
        cls, options: FleetOptions, supervisor: Supervisor, *, program: str, result: Result
    ) -> FleetRun:
        """Start fake services, hollow gateways, real ones and their clients."""
        environment = await Environment.start(
            supervisor, backends=options.backends, seed=options.seed, stall_ms=options.stall_ms
        )
        configs = [environment.config(index, options.fleet) for index in range(options.started_gateways)]
        hollow = await start_hollow_gateways(
            supervisor, program, configs[: options.hollow_gateways], options.hollow_processes
        )
        real: list[LaunchedGatewayFigures] = []
        if options.real_gateways:
            real = await environment.launch_gateways(program, configs[options.hollow_gateways :])
        customers = CustomerPopulation(
            count=max(options.customers),
            gateways=options.fleet,
            gateways_per_customer=min(options.gateways_per_customer),
            seed=options.seed,
        )
        clients = await environment.start_clients(
            [gateway["port"] for gateway in real], customers, first_gateway=options.hollow_gateways
        )
        await environment.wait_for_watches(options.started_gateways)
        return cls(
            options=options,
            result=result,
            environment=environment,
            hollow=hollow,
            clients=clients,
            real_pids=[gateway["pid"] for gateway in real],
        )

    async def measure(self, progress: Console) -> dict[str, Any]:
        """Return the figures of all phases, as they go into the JSON of the run."""
        options = self.options
        propagation: dict[str, PropagationSummary] = {}
        requests: dict[str, LoadSummary | None] = {}
        progress.print("idle")
        idle = await self._run_steadily(0.0)
        requests["idle"] = idle.requests
        progress.print(f"{options.change_rate:g} changes a second")
        changing = await self._run_steadily(options.change_rate)
        requests[STEADY_CHANGES] = changing.requests
        propagation[STEADY_CHANGES] = await self._measure_propagation(changing.announcements)
        for size in dict.fromkeys(min(size, options.backends - 1) for size in options.burst_sizes):
            progress.print(f"burst of {size:,} changes")
            phase = f"burst of {size:,}"
            propagation[phase], requests[phase] = await self._run_burst(size)
        progress.print("requests of hollow gateways")
        return {
            "propagation": propagation,
            "requests": requests,
            "per_gateway": {"idle": idle.per_gateway, STEADY_CHANGES: changing.per_gateway},
            "real_rss_mb": [round(resident_mb(pid), 1) for pid in self.real_pids],
            "counter": await self._measure_counter_calls(),
        }

    async def _begin(self) -> None:
        await self.environment.begin(self.clients)
        await self._call_hollow("begin")

    async def _read(self) -> FleetCounts:
        services = await self.environment.read(self.result, "in the fleet", self.clients)
        return FleetCounts(services, await self._call_hollow("read"))

    async def _call_hollow(self, method: str, *, lasting_s: float = 0.0, **arguments: Any) -> list[Any]:
        """Call a method of all processes of hollow gateways, which takes `lasting_s` by itself."""
        calls = (worker.call_lasting(lasting_s, method, **arguments) for worker in self.hollow.workers)
        return await asyncio.gather(*calls)

    async def _send_load(self, seconds: float) -> LoadSummary | None:
        """Send requests to the real gateways; None where there are none."""
        if not self.real_pids:
            return None
        return await send_load(self.clients, rate=self.options.real_request_rate, seconds=seconds)

    async def _run_steadily(self, change_rate: float) -> SteadyPhaseOutcome:
        """Announce changes at an even rate under load."""
        seconds = self.options.phase_s
        await self._begin()
        announced = self.environment.discovery.call_lasting(
            seconds, "announce_evenly", rate=change_rate, seconds=seconds
        )
        announcements, requests = await asyncio.gather(announced, self._send_load(seconds))
        counts = await self._read()
        hollow_gateways = max(1, self.options.hollow_gateways)
        discovery_bytes = counts.services["discovery"]["sent"]
        per_gateway = {
            "cpu_ms_per_s": counts.cpu_ms_per_s() / hollow_gateways,
            "state_mb": self.hollow.state_mb,
            "rss_mb": counts.rss_mb() / hollow_gateways,
            "discovery_bytes_per_s": discovery_bytes / seconds / self.options.started_gateways,
        }
        return SteadyPhaseOutcome(announcements, requests, per_gateway)

    async def _run_burst(self, size: int) -> tuple[PropagationSummary, LoadSummary | None]:
        """Announce a burst in one watch event under load."""
        discovery = self.environment.discovery
        batch_id = await discovery.call("prepare", counts=[size])
        await self._begin()
        load_task = asyncio.create_task(self._send_load(self.options.burst_window_s))
        await asyncio.sleep(BURST_DELAY_S)
        announcement = await discovery.call("announce", batch_id=batch_id)
        propagation = await self._measure_propagation([announcement])
        requests = await load_task
        await self._read()
        return propagation, requests

    async def _measure_propagation(self, announcements: Sequence[Announcement]) -> PropagationSummary:
        """Wait until the changes are applied, and return how long the hollow gateways took."""
        timeout_s = self.options.change_timeout_s
        changes = announced_changes(announcements)
        sample = sample_changes(changes)
        delays_by_process: list[list[list[float]]] = await self._call_hollow(
            "propagation_delays",
            lasting_s=timeout_s,
            hosts=[change.host for change in sample],
            announced_at=[change.at for change in sample],
            wait_s=timeout_s,
        )
        delays_by_change = [
            [delay_ms for delays in delays_by_process for delay_ms in delays[place]]
            for place in range(len(sample))
        ]
        return summarize_propagation(
            delays_by_change,
            changes=len(changes),
            gateways=self.options.hollow_gateways,
            timeout_s=timeout_s,
        )

    async def _measure_counter_calls(self) -> dict[str, dict[str, Any]]:
        """Measure the counter calls of each number of customers and size of their gateway sets."""
        options = self.options
        measured: dict[str, dict[str, Any]] = {}
        for count, gateways_per_customer in product(options.customers, options.gateways_per_customer):
            customers = CustomerPopulation(
                count=count,
                gateways=options.fleet,
                gateways_per_customer=gateways_per_customer,
                seed=options.seed,
                first_number=(len(measured) + 1) * CUSTOMER_NUMBER_STEP,
            )
            phase = f"{count:,}, {gateways_per_customer} gateways each"
            measured[phase] = await self._count_calls(customers)
        return measured

    async def _count_calls(self, customers: CustomerPopulation) -> dict[str, Any]:
        """Send requests of some customers to all hollow gateways; return what the counter got."""
        seconds = self.options.phase_s
        await self._begin()
        await self._call_hollow(
            "send_requests",
            lasting_s=seconds,
            customers=customers,
            rate=self.options.hollow_request_rate,
            seconds=seconds,
        )
        counts = await self._read()
        sent = counts.sent()
        hollow_gateways = max(1, self.options.hollow_gateways)
        counter = counts.services["counter"]
        counter_bytes = counter["sent"] + counter["received"]
        return {
            "customers": customers.count,
            "gateways_per_customer": customers.gateways_per_customer,
            "requests": sent,
            "served": counts.served(),
            "calls_per_request": counter["calls"] / sent if sent else 0.0,
            "counter_bytes_per_s": counter_bytes / seconds / hollow_gateways,
            "cpu_ms_per_s": counts.cpu_ms_per_s() / hollow_gateways,
            "rss_mb": counts.rss_mb() / hollow_gateways,
        }


async def start_hollow_gateways(
    supervisor: Supervisor, program: str, configs: Sequence[dict[str, Any]], processes: int
) -> HollowGateways:
    """Start a hollow gateway for each configuration, spread over so many processes."""
    by_process = [configs[place::processes] for place in range(min(processes, len(configs)))]
    workers = [await supervisor.start("hollow", Path(program)) for _ in by_process]
    starts = (
        worker.call("start", configs=part, timeout_s=START_TIMEOUT_S + len(part) * CALL_TIMEOUT_S)
        for worker, part in zip(workers, by_process, strict=True)
    )
    figures: list[HollowStartFigures] = await asyncio.gather(*starts)
    grown_mb = sum(process["after_mb"] - process["before_mb"] for process in figures)
    return HollowGateways(workers, grown_mb / max(1, len(configs)))
