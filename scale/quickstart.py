"""The smallest run: a few real gateways on fake services, under load for some seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rich.console import Console

from . import machine
from .environment import Environment
from .result import Result
from .supervisor import Supervisor, WorkerProcess
from .tables import make_table, print_run

LATENCY_MS = 5.0
"""Of the fake backends."""

REPLY_TIMEOUT_S = 60.0
"""Over the time of the load itself, until the clients count as failed."""


@dataclass(frozen=True)
class Quickstart:
    """What to run; `rate` is requests a second over all gateways."""

    gateways: int
    backends: int
    customers: int
    rate: float
    seconds: float
    seed: int
    program: str
    stall: float = 0.0

    def check(self) -> None:
        """Check that this machine has room for these sizes.

        Raises:
            UsageError: it has not.
        """
        gateway_mb = machine.PROCESS_MB + machine.gateway_mb(self.backends, self.customers)
        gateway_mb += machine.read_buffer_mb(self.backends)
        support_mb = machine.discovery_mb(self.backends, self.gateways)
        support_mb += machine.SUPPORT_PROCESSES * machine.PROCESS_MB
        processes = self.gateways + machine.SUPPORT_PROCESSES
        machine.check_capacity(self.gateways * gateway_mb + support_mb, processes)

    async def run(self, progress: Console) -> Result:
        """Start all, send the requests and count.

        Raises:
            RunError: a process failed.
        """
        result = Result.begin("quickstart", self, [self.program])
        async with Supervisor() as supervisor:
            environment = await Environment.start(
                supervisor,
                backends=self.backends,
                seed=self.seed,
                latency_ms=LATENCY_MS,
                stall_ms=self.stall,
            )
            load = await self._start_load(supervisor, environment)
            progress.print(f"all is up: {self.gateways} gateways, a list of {self.backends} backends")
            await environment.begin(load)
            timeout_s = self.seconds + REPLY_TIMEOUT_S
            requests = await load.call("run", rate=self.rate, seconds=self.seconds, timeout_s=timeout_s)
            counts = await environment.read(result, "under load", load)
        result.measured = {"requests": requests, "counter_calls": counts["counter"]["calls"]}
        return result

    async def _start_load(self, supervisor: Supervisor, environment: Environment) -> WorkerProcess:
        configs = [environment.config(index, self.gateways) for index in range(self.gateways)]
        gateways = await environment.launch_gateways(Path(self.program), configs)
        await environment.wait_for_watches(self.gateways)
        load = await supervisor.start("load")
        await load.call(
            "connect",
            gateways=[[index, gateway["port"]] for index, gateway in enumerate(gateways)],
            customers=self.customers,
            fleet=self.gateways,
            spread=min(2, self.gateways),
            seed=self.seed,
        )
        return load


def print_result(console: Console, result: Result) -> None:
    """Print what was served, rejected and failed, and how fast."""
    asked = result.asked
    requests = result.measured["requests"]
    rows = [(name, requests[name]) for name in ("sent", "served", "refused", "failed")]
    rows += [
        (f"{title}, {percent} in 100", f"{requests[key][f'p{percent}_ms']:.2f} ms")
        for title, key in (("latency", "latency"), ("added by the gateway", "added"))
        for percent in (50, 99)
    ]
    rows.append(("calls at the counter", result.measured["counter_calls"]))
    title = f"{asked['gateways']} gateways, {asked['customers']} customers, {asked['seconds']:g} s"
    print_run(console, result, make_table(title, ["requests", ""], rows))
