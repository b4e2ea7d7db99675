"""Quickstart scenario, the smallest run: a few seconds of load on a few real gateways and fake services."""

from __future__ import annotations

from dataclasses import dataclass

from rich.console import Console

from . import machine
from .customers import CustomerPopulation
from .environment import Environment, send_load
from .figures import LatencySummary
from .result import Result
from .run_options import RunOptions
from .supervisor import Supervisor, WorkerProcess
from .tables import make_table, print_run

GATEWAYS_PER_CUSTOMER = 2
"""Number of gateways that serve each customer; if the run has fewer, all of them do."""


@dataclass(frozen=True, kw_only=True)
class QuickstartScenario(RunOptions):
    """The quickstart scenario and its options; it measures only the first checkout."""

    gateways: int
    backends: int
    customers: int
    request_rate: float
    """Requests per second over all gateways."""

    seconds: float

    def check(self) -> None:
        """Check that this machine has the resources for the run.

        Raises:
            UsageError: the machine lacks memory, processes or file descriptors.
        """
        gateway_mb = machine.PROCESS_MB + machine.gateway_mb(self.backends, self.customers)
        gateway_mb += machine.read_buffer_mb(self.backends)
        support_mb = machine.discovery_mb(self.backends, self.gateways)
        support_mb += machine.SUPPORT_PROCESSES * machine.PROCESS_MB
        processes = self.gateways + machine.SUPPORT_PROCESSES
        machine.check_capacity(self.gateways * gateway_mb + support_mb, processes)

    async def run(self, progress: Console) -> Result:
        """Start all processes, send the requests and return their counts and latencies.

        Raises:
            RunError: a process failed.
        """
        result = Result.create("quickstart", self)
        async with Supervisor() as supervisor:
            environment = await Environment.start(
                supervisor, backends=self.backends, seed=self.seed, stall_ms=self.stall_ms
            )
            clients = await self._start_gateways(environment)
            progress.print(f"ready: {self.gateways} gateways, an endpoint list of {self.backends} backends")
            await environment.begin_phase(clients)
            requests = await send_load(clients, rate=self.request_rate, seconds=self.seconds)
            counts = await environment.read_counts(result, "under load", clients)
        result.measured = {"requests": requests, "counter_calls": counts["counter"]["calls"]}
        return result

    async def _start_gateways(self, environment: Environment) -> WorkerProcess:
        """Start the gateways and their clients; return the clients."""
        configs = [environment.config(index, self.gateways) for index in range(self.gateways)]
        gateways = await environment.launch_gateways(self.programs[0], configs)
        await environment.wait_for_watches(self.gateways)
        customers = CustomerPopulation(
            count=self.customers,
            gateways=self.gateways,
            gateways_per_customer=GATEWAYS_PER_CUSTOMER,
            seed=self.seed,
        )
        return await environment.start_clients([gateway["port"] for gateway in gateways], customers)


def print_result(console: Console, result: Result) -> None:
    """Print the table of the request counts, the latencies and the counter calls."""
    options = result.options
    requests = result.measured["requests"]
    rows = [(name, requests[name]) for name in ("sent", "served", "rejected", "failed")]
    rows += latency_rows("latency", requests["latency"])
    rows += latency_rows("latency added by the gateway", requests["added_latency"])
    rows.append(("counter calls", result.measured["counter_calls"]))
    title = f"{options['gateways']} gateways, {options['customers']} customers, {options['seconds']:g} s"
    print_run(console, result, make_table(title, ["requests", ""], rows))


def latency_rows(title: str, latency: LatencySummary) -> list[tuple[str, str]]:
    """Return the table rows of a latency: the median and the 99th percentile."""
    return [
        (f"{title}, p50", f"{latency['p50_ms']:.2f} ms"),
        (f"{title}, p99", f"{latency['p99_ms']:.2f} ms"),
    ]
