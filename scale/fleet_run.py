"""One checkout's fleet, from its start to its figures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console

from .environment import START_TIMEOUT_S, Environment
from .fleet_options import FleetOptions
from .histogram import nearest_rank, summarize
from .machine import resident_mb
from .result import Result
from .supervisor import CALL_TIMEOUT_S, Supervisor, WorkerProcess

LATENCY_MS = 5.0
"""Of the fake backends."""

BURST_DELAY_S = 0.1
"""From the first request of a burst's window to the burst."""

MAX_FOLLOWED_CHANGES = 1_000
"""Changes whose way is followed at each gateway; of more, an even part."""

CUSTOMER_NUMBER_STEP = 10_000_000
"""Between the customers of one case and of the next: none is met in two."""


class FleetCounts(NamedTuple):
    """What the fakes counted, and what the processes of hollow gateways took."""

    services: dict[str, Any]
    hollow: list[dict[str, float]]

    def total(self, name: str) -> float:
        """Return the sum of a figure over the processes."""
        return sum(process[name] for process in self.hollow)

    def cpu_ms_per_s(self) -> float:
        """Return the processor time of all, in milliseconds a second."""
        return sum(process["cpu_s"] / process["seconds"] for process in self.hollow) * 1000


@dataclass
class FleetRun:
    """The processes of a fleet that is up."""

    options: FleetOptions
    result: Result
    progress: Console
    environment: Environment
    hollow: list[WorkerProcess]
    hollow_mb: float  # that the state of each hollow gateway takes
    load: WorkerProcess
    real_pids: list[int]

    @classmethod
    async def start(
        cls, options: FleetOptions, result: Result, progress: Console, supervisor: Supervisor, program: str
    ) -> FleetRun:
        """Start fake services, hollow gateways, real ones and their clients."""
        progress.print(f"starting {options.hollow} hollow and {options.real} real gateways of {program}")
        environment = await Environment.start(
            supervisor,
            backends=options.backends,
            seed=options.seed,
            latency_ms=LATENCY_MS,
            stall_ms=options.stall,
        )
        gateways = options.hollow + options.real
        configs = [environment.config(index, options.fleet) for index in range(gateways)]
        hollow_configs = configs[: options.hollow]
        by_process = [hollow_configs[place :: options.processes] for place in range(options.processes)]
        by_process = [part for part in by_process if part]
        hollow = [await supervisor.start("hollow", Path(program)) for _ in by_process]
        hollow_mb = await start_hollow(hollow, by_process) / max(1, options.hollow)
        real: list[dict[str, int]] = []
        if options.real:
            real = await environment.launch_gateways(Path(program), configs[options.hollow :])
        load = await start_load(supervisor, options, [gateway["port"] for gateway in real])
        await environment.wait_for_watches(gateways)
        progress.print(f"all is up: {options.hollow} hollow gateways in {len(hollow)} processes")
        real_pids = [gateway["pid"] for gateway in real]
        return cls(options, result, progress, environment, hollow, hollow_mb, load, real_pids)

    async def measure(self) -> dict[str, Any]:
        """Return the figures, as they go into the JSON of the run."""
        options = self.options
        in_force: dict[str, Any] = {}
        requests: dict[str, Any] = {}
        self.progress.print("idle")
        idle = await self._run_evenly(0.0)
        requests["idle"] = idle.pop("requests")
        idle.pop("announcements")
        self.progress.print(f"{options.changes:g} changes a second")
        changing = await self._run_evenly(options.changes)
        requests["even changes"] = changing.pop("requests")
        in_force["even changes"] = await self._time_to_apply(changing.pop("announcements"))
        for size in dict.fromkeys(min(size, options.backends - 1) for size in options.bursts):
            self.progress.print(f"a burst of {size:,} changes")
            name = f"burst of {size:,}"
            in_force[name], requests[name] = await self._run_burst(size)
        counter = {
            f"{customers:,}, each at {spread} gateways": await self._count_calls(case, customers, spread)
            for case, (customers, spread) in enumerate(product(options.customers, options.spread))
        }
        return {
            "in_force": in_force,
            "requests": requests,
            "a_gateway": {"idle": idle, "even changes": changing},
            "real_rss_mb": [round(resident_mb(pid), 1) for pid in self.real_pids],
            "counter": counter,
        }

    async def _begin(self) -> None:
        await self.environment.begin(self.load)
        await asyncio.gather(*(worker.call("begin") for worker in self.hollow))

    async def _read(self) -> FleetCounts:
        services = await self.environment.read(self.result, "in the fleet", self.load)
        return FleetCounts(services, await asyncio.gather(*(worker.call("read") for worker in self.hollow)))

    async def _run_load(self, seconds: float) -> Any:
        """Send requests to the real gateways; None where there are none."""
        if not self.real_pids:
            return None
        timeout_s = seconds + CALL_TIMEOUT_S
        return await self.load.call("run", rate=self.options.rate, seconds=seconds, timeout_s=timeout_s)

    async def _run_evenly(self, change_rate: float) -> dict[str, Any]:
        """Announce changes evenly under load: what a hollow gateway takes, and what clients notice."""
        seconds = self.options.seconds
        await self._begin()
        announced = self.environment.discovery.call(
            "announce_evenly", rate=change_rate, seconds=seconds, timeout_s=seconds + CALL_TIMEOUT_S
        )
        announcements, requests = await asyncio.gather(announced, self._run_load(seconds))
        counts = await self._read()
        hollow = max(1, self.options.hollow)
        watches = self.options.hollow + self.options.real
        return {
            "announcements": announcements,
            "requests": requests,
            "cpu_ms_per_s": counts.cpu_ms_per_s() / hollow,
            "state_mb": self.hollow_mb,
            "rss_mb": counts.total("rss_mb") / hollow,
            "discovery_bytes_per_s": counts.services["discovery"]["sent"] / seconds / watches,
        }

    async def _run_burst(self, size: int) -> tuple[dict[str, Any], Any]:
        """Announce a burst in one watch event under load: when it was in force, and what clients noticed."""
        discovery = self.environment.discovery
        batch_id = await discovery.call("prepare", counts=[size], marked=False)
        await self._begin()
        load_task = asyncio.create_task(self._run_load(self.options.window))
        await asyncio.sleep(BURST_DELAY_S)
        announcement = await discovery.call("announce", batch_id=batch_id)
        in_force = await self._time_to_apply([announcement])
        requests = await load_task
        await self._read()
        return in_force, requests

    async def _time_to_apply(self, announcements: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the milliseconds until changes were in force at half, 99 in 100 and all hollow gateways."""
        changes = [(host, message["at"]) for message in announcements for host in message["hosts"]]
        step = -(-len(changes) // MAX_FOLLOWED_CHANGES) or 1
        followed = changes[::step]
        patience_s = self.options.patience
        by_process = await asyncio.gather(
            *(
                worker.call(
                    "time_to_apply",
                    hosts=[host for host, _ in followed],
                    announced_at=[at for _, at in followed],
                    patience_s=patience_s,
                    timeout_s=patience_s + CALL_TIMEOUT_S,
                )
                for worker in self.hollow
            )
        )
        by_change = [
            [delay_ms for process in by_process for delay_ms in process[place]]
            for place in range(len(followed))
        ]
        missing = sum(delay_ms < 0 for delays in by_change for delay_ms in delays)
        # One that is missing took at least as long as was waited for it.
        by_change = [
            sorted(patience_s * 1000 if delay_ms < 0 else delay_ms for delay_ms in delays)
            for delays in by_change
            if delays
        ]
        return {
            "changes": len(changes),
            "followed": len(followed),
            "gateways": self.options.hollow,
            "missing": missing,
            "half_ms": summarize([nearest_rank(delays, 50) for delays in by_change]),
            "most_ms": summarize([nearest_rank(delays, 99) for delays in by_change]),
            "slowest_ms": summarize([delays[-1] for delays in by_change]),
        }

    async def _count_calls(self, case: int, customers: int, spread: int) -> dict[str, Any]:
        """Count the counter's calls a request, for a number of customers and of gateways that serve each."""
        options = self.options
        self.progress.print(f"requests of {customers:,} customers, each at {spread} gateways")
        arguments = {
            "customers": customers,
            "gateways": options.fleet,
            "spread": spread,
            "seed": options.seed,
            "first_number": (case + 1) * CUSTOMER_NUMBER_STEP,
        }
        await asyncio.gather(*(worker.call("use_customers", **arguments) for worker in self.hollow))
        await self._begin()
        await asyncio.gather(*(self._send_requests(worker) for worker in self.hollow))
        counts = await self._read()
        sent = counts.total("sent")
        hollow = max(1, options.hollow)
        counter = counts.services["counter"]
        return {
            "customers": customers,
            "spread": spread,
            "requests": sent,
            "served": counts.total("served"),
            "calls_a_request": counter["calls"] / sent if sent else 0.0,
            "counter_bytes_per_s": (counter["sent"] + counter["received"]) / options.seconds / hollow,
            "cpu_ms_per_s": counts.cpu_ms_per_s() / hollow,
            "rss_mb": counts.total("rss_mb") / hollow,
        }

    async def _send_requests(self, worker: WorkerProcess) -> None:
        options = self.options
        timeout_s = options.seconds + CALL_TIMEOUT_S
        await worker.call(
            "send_requests", rate=options.requests, seconds=options.seconds, timeout_s=timeout_s
        )


async def start_hollow(workers: list[WorkerProcess], configs: list[list[dict[str, Any]]]) -> float:
    """Start each worker's hollow gateways; return the megabytes that all processes grew by."""
    figures = await asyncio.gather(
        *(
            worker.call("start", configs=part, timeout_s=START_TIMEOUT_S + len(part) * CALL_TIMEOUT_S)
            for worker, part in zip(workers, configs, strict=True)
        )
    )
    return float(sum(process["after_mb"] - process["before_mb"] for process in figures))


async def start_load(supervisor: Supervisor, options: FleetOptions, ports: list[int]) -> WorkerProcess:
    """Start the clients of the real gateways, which come after the hollow ones in the fleet."""
    load = await supervisor.start("load")
    await load.call(
        "connect",
        gateways=[[options.hollow + place, port] for place, port in enumerate(ports)],
        customers=max(options.customers),
        fleet=options.fleet,
        spread=min(options.spread),
        seed=options.seed,
    )
    return load
