"""Starts the fleet of one checkout and measures it phase by phase."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product
from typing import Any, NamedTuple

from rich.console import Console

from .customers import CustomerPopulation
from .environment import Environment, send_load
from .figures import Announcement, LaunchedGatewayInfo, LoadSummary
from .fleet_options import FleetOptions
from .hollow_processes import HollowProcesses, HollowTotals
from .machine import resident_mb
from .propagation import PropagationSummary, announced_changes, sample_changes, summarize_propagation
from .result import Result
from .supervisor import Supervisor, WorkerProcess

BURST_DELAY_S = 0.1
"""Seconds between the start of the load around a burst and the announcement of the burst."""

CUSTOMER_NUMBER_STEP = 10_000_000
"""Offset between the customer numbers of successive phases, so that no two phases share a customer."""

STEADY_CHANGES = "steady changes"
"""Name of the phase with changes at an even rate, in tables and in the JSON result."""


class FleetCounts(NamedTuple):
    """Counts of the fake services in a phase, and the totals of the hollow gateways."""

    services: dict[str, Any]
    hollow: HollowTotals


class SteadyPhaseOutcome(NamedTuple):
    """Results of a steady phase: announced changes, the clients' summary and the figures per gateway."""

    announcements: list[Announcement]
    requests: LoadSummary | None
    per_gateway: dict[str, float]


@dataclass(kw_only=True)
class FleetRun:
    """Runs the measured phases on the processes of a started fleet."""

    options: FleetOptions
    result: Result
    environment: Environment
    hollow: HollowProcesses
    clients: WorkerProcess
    real_pids: list[int]

    @classmethod
    async def start(
        cls, options: FleetOptions, supervisor: Supervisor, *, program: str, result: Result
    ) -> FleetRun:
        """Start the fake services, the hollow gateways, the real gateways and the clients."""
        environment = await Environment.start(
            supervisor, backends=options.backends, seed=options.seed, stall_ms=options.stall_ms
        )
        configs = [environment.config(index, options.fleet) for index in range(options.started_gateways)]
        hollow = await HollowProcesses.start(
            supervisor,
            program,
            configs[: options.hollow_gateways],
            processes=options.hollow_processes,
        )
        real: list[LaunchedGatewayInfo] = []
        if options.real_gateways:
            real = await environment.launch_gateways(program, configs[options.hollow_gateways :])
        clients = await environment.start_clients(
            [gateway["port"] for gateway in real],
            client_population(options),
            first_gateway=options.hollow_gateways,
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
        """Run all phases and return their figures in the form of the JSON result."""
        options = self.options
        propagation: dict[str, PropagationSummary] = {}
        requests: dict[str, LoadSummary | None] = {}
        progress.print("idle")
        idle = await self._run_steady_phase(0.0)
        requests["idle"] = idle.requests
        progress.print(f"{options.change_rate:g} changes a second")
        changing = await self._run_steady_phase(options.change_rate)
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

    async def _begin_phase(self) -> None:
        await self.environment.begin_phase(self.clients)
        await self.hollow.begin_phase()

    async def _read_counts(self) -> FleetCounts:
        services = await self.environment.read_counts(self.result, "in the fleet", self.clients)
        return FleetCounts(services, await self.hollow.read_totals())

    async def _send_load(self, seconds: float) -> LoadSummary | None:
        """Send requests to the real gateways and return their summary, or None without real gateways."""
        if not self.real_pids:
            return None
        return await send_load(self.clients, rate=self.options.real_request_rate, seconds=seconds)

    async def _run_steady_phase(self, change_rate: float) -> SteadyPhaseOutcome:
        """Run a phase under load in which changes are announced at an even rate."""
        seconds = self.options.phase_s
        await self._begin_phase()
        announce_call = self.environment.discovery.call_lasting(
            seconds, "announce_evenly", rate=change_rate, seconds=seconds
        )
        announcements, requests = await asyncio.gather(announce_call, self._send_load(seconds))
        counts = await self._read_counts()
        hollow_gateways = self.options.hollow_gateways
        discovery_bytes = counts.services["discovery"]["sent"]
        per_gateway = {
            "cpu_ms_per_s": counts.hollow.cpu_ms_per_s / hollow_gateways,
            "state_mb": self.hollow.state_mb,
            "rss_mb": counts.hollow.rss_mb / hollow_gateways,
            "discovery_bytes_per_s": discovery_bytes / seconds / self.options.started_gateways,
        }
        return SteadyPhaseOutcome(announcements, requests, per_gateway)

    async def _run_burst(self, size: int) -> tuple[PropagationSummary, LoadSummary | None]:
        """Run a phase under load in which one watch event announces `size` changes."""
        discovery = self.environment.discovery
        batch_id = await discovery.call("prepare", counts=[size])
        await self._begin_phase()
        load_task = asyncio.create_task(self._send_load(self.options.burst_window_s))
        await asyncio.sleep(BURST_DELAY_S)
        announcement = await discovery.call("announce", batch_id=batch_id)
        propagation = await self._measure_propagation([announcement])
        requests = await load_task
        await self._read_counts()
        return propagation, requests

    async def _measure_propagation(self, announcements: Sequence[Announcement]) -> PropagationSummary:
        """Wait until the hollow gateways have applied the changes, and return a summary of the delays."""
        timeout_s = self.options.change_timeout_s
        changes = announced_changes(announcements)
        sample = sample_changes(changes)
        return summarize_propagation(
            await self.hollow.propagation_delays(sample, timeout_s),
            changes=len(changes),
            gateways=self.options.hollow_gateways,
            timeout_s=timeout_s,
        )

    async def _measure_counter_calls(self) -> dict[str, dict[str, Any]]:
        """Measure the counter calls for each combination of customers and gateways per customer."""
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
            measured[phase] = await self._run_counter_phase(customers)
        return measured

    async def _run_counter_phase(self, customers: CustomerPopulation) -> dict[str, Any]:
        """Send requests of `customers` to all hollow gateways; return the counter calls and their cost."""
        seconds = self.options.phase_s
        await self._begin_phase()
        await self.hollow.send_requests(customers, rate=self.options.hollow_request_rate, seconds=seconds)
        counts = await self._read_counts()
        sent = counts.hollow.sent
        hollow_gateways = self.options.hollow_gateways
        counter = counts.services["counter"]
        counter_bytes = counter["sent"] + counter["received"]
        return {
            "customers": customers.count,
            "gateways_per_customer": customers.gateways_per_customer,
            "requests": sent,
            "served": counts.hollow.served,
            "calls_per_request": counter["calls"] / sent if sent else 0.0,
            "counter_bytes_per_s": counter_bytes / seconds / hollow_gateways,
            "cpu_ms_per_s": counts.hollow.cpu_ms_per_s / hollow_gateways,
            "rss_mb": counts.hollow.rss_mb / hollow_gateways,
        }


def client_population(options: FleetOptions) -> CustomerPopulation:
    """Return the customers whose requests the clients send to the real gateways."""
    return CustomerPopulation(
        count=max(options.customers),
        gateways=options.fleet,
        gateways_per_customer=min(options.gateways_per_customer),
        seed=options.seed,
    )
