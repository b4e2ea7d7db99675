"""The smallest run: a few real gateways on the stand-ins, under load for some seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rich.console import Console

from . import machine
from .children import Children
from .report import Result, show, table
from .world import World

LATENCY_MS = 5.0


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
        """UsageProblem for sizes that this machine has no room for."""
        a_gateway = machine.PROCESS_MB + machine.gateway_mb(self.backends, self.customers)
        a_gateway += machine.reading_mb(self.backends)
        others = machine.discovery_mb(self.backends, self.gateways) + machine.OTHERS * machine.PROCESS_MB
        machine.check(self.gateways * a_gateway + others, self.gateways + machine.OTHERS)

    async def run(self, progress: Console) -> Result:
        """Start all, send the requests and count. RunProblem where a process fails."""
        result = Result.of("quickstart", self, [self.program])
        async with Children() as children:
            world = await World.start(children, self.backends, self.seed, LATENCY_MS, self.stall)
            configs = [world.config(index, self.gateways) for index in range(self.gateways)]
            gateways = await world.gateways(Path(self.program), configs)
            await world.watched(self.gateways)
            load = await children.start("load")
            await load.call(
                "connect",
                gateways=[[index, told["port"]] for index, told in enumerate(gateways)],
                customers=self.customers,
                fleet=self.gateways,
                spread=min(2, self.gateways),
                seed=self.seed,
            )
            progress.print(f"all is up: {self.gateways} gateways, a list of {self.backends} backends")
            await world.begin(load)
            served = await load.call("run", rate=self.rate, seconds=self.seconds, within=self.seconds + 60)
            counted = await world.read(result, "under load", load)
        result.measured = {"requests": served, "counter_calls": counted["counter"]["calls"]}
        return result


def print_result(console: Console, result: Result) -> None:
    asked, measured = result.asked, result.measured
    requests = measured["requests"]
    rows = [(name, requests[name]) for name in ("sent", "served", "refused", "failed")]
    rows += [
        (f"{name}, {percent} in 100", f"{requests[key][f'p{percent}_ms']:.2f} ms")
        for name, key in (("latency", "latency"), ("added by the gateway", "added"))
        for percent in (50, 99)
    ]
    rows.append(("calls at the counter", measured["counter_calls"]))
    title = f"{asked['gateways']} gateways, {asked['customers']} customers, {asked['seconds']:g} s"
    show(console, result, table(title, ["requests", ""], rows))
