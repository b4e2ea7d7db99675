"""Many gateways at once: how soon changes are in force, what each takes, and what clients notice."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any

import psutil
from rich.console import Console
from rich.table import Table

from . import machine
from .children import CALL_S, Child, Children
from .histogram import spread as spread_of
from .report import Goal, Result, show, table, three
from .world import START_S, World

LATENCY_MS = 5.0
BEFORE_S = 0.1  # from the first request of a burst's window to the burst
MOST_LOOKED_AT = 1_000  # changes whose way is followed at each gateway; of more, an even part
IN_FORCE_MS = 1_000.0  # the goal: at the slowest gateway
APART = 10_000_000  # between the customers of one case and of the next: none is met in two


@dataclass(frozen=True)
class Fleet:
    """What to run. Rates are per second: `requests` of each hollow gateway, `rate` of all real ones."""

    hollow: int
    processes: int
    real: int
    backends: int
    changes: float
    seconds: float
    bursts: tuple[int, ...]
    window: float
    customers: tuple[int, ...]
    spread: tuple[int, ...]
    requests: float
    rate: float
    fleet: int
    patience: float
    seed: int
    programs: tuple[str, ...]
    stall: float = 0.0

    def check(self) -> None:
        """UsageProblem for sizes that this machine has no room for, or for more gateways than the fleet."""
        machine.check_fleet(self.hollow + self.real, self.fleet)
        met = sum(
            min(customers * spread / self.fleet, self.requests * self.seconds)
            for customers, spread in product(self.customers, self.spread)
        )
        state = machine.gateway_mb(self.backends, met)
        a_process = machine.PROCESS_MB + machine.reading_mb(self.backends)
        needed = (self.hollow + self.real) * state + (self.processes + self.real) * a_process
        needed += machine.OTHERS * machine.PROCESS_MB + machine.discovery_mb(
            self.backends, self.hollow + self.real
        )
        files = (self.hollow + self.real) * machine.FILES
        machine.check(needed, self.processes + self.real + machine.OTHERS, files)

    async def run(self, progress: Console) -> Result:
        """Measure the fleet of each program, one after another. RunProblem where a process fails."""
        result = Result.of("fleet", self, self.programs)
        for program in self.programs:
            async with Children() as children:
                run = Run(self, result, progress, children, program)
                await run.start()
                measured = result.measured[program] = await run.measure()
            slowest = max(case["slowest_ms"]["max"] for case in measured["in_force"].values())
            result.goals[program] = [
                Goal("a change in force at the slowest gateway", "ms", IN_FORCE_MS, slowest)
            ]
        return result


class Run:
    """One program's fleet, from its start to its figures."""

    def __init__(
        self, asked: Fleet, result: Result, progress: Console, children: Children, program: str
    ) -> None:
        self.asked, self.result, self.progress, self.children = asked, result, progress, children
        self.program = program
        self.pids: list[int] = []

    async def start(self) -> None:
        asked = self.asked
        self.progress.print(
            f"starting {asked.hollow} hollow and {asked.real} real gateways of {self.program}"
        )
        self.world = await World.start(self.children, asked.backends, asked.seed, LATENCY_MS, asked.stall)
        configs = [self.world.config(index, asked.fleet) for index in range(asked.hollow + asked.real)]
        parts = [configs[: asked.hollow][place :: asked.processes] for place in range(asked.processes)]
        self.parts = [part for part in parts if part]
        self.hollow = [await self.children.start("hollow", Path(self.program)) for _ in self.parts]
        started = await asyncio.gather(
            *(
                child.call("start", configs=part, within=START_S + len(part) * CALL_S)
                for child, part in zip(self.hollow, self.parts, strict=True)
            )
        )
        grown = sum(told["after_mb"] - told["before_mb"] for told in started)
        self.started_mb = grown / max(1, asked.hollow)
        real = await self.world.gateways(Path(self.program), configs[asked.hollow :]) if asked.real else []
        self.pids = [told["pid"] for told in real]
        self.load = await self.children.start("load")
        await self.load.call(
            "connect",
            gateways=[[asked.hollow + place, told["port"]] for place, told in enumerate(real)],
            customers=max(asked.customers),
            fleet=asked.fleet,
            spread=min(asked.spread),
            seed=asked.seed,
        )
        await self.world.watched(asked.hollow + asked.real)
        self.progress.print(f"all is up: {asked.hollow} hollow gateways in {len(self.parts)} processes")

    async def measure(self) -> dict[str, Any]:
        """The figures, as they go into the JSON of the run."""
        asked = self.asked
        in_force: dict[str, Any] = {}
        requests: dict[str, Any] = {}
        self.progress.print("idle")
        idle = await self._work(asked.seconds, 0.0)
        requests["idle"] = idle.pop("requests")
        self.progress.print(f"{asked.changes:g} changes a second")
        changing = await self._work(asked.seconds, asked.changes)
        requests["even changes"] = changing.pop("requests")
        in_force["even changes"] = await self._in_force(changing.pop("told"))
        for size in dict.fromkeys(min(size, asked.backends - 1) for size in asked.bursts):
            self.progress.print(f"a burst of {size:,} changes")
            name = f"burst of {size:,}"
            in_force[name], requests[name] = await self._burst(size)
        calls = {
            f"{customers:,}, each at {spread} gateways": await self._calls(number, customers, spread)
            for number, (customers, spread) in enumerate(product(asked.customers, asked.spread))
        }
        idle.pop("told")
        return {
            "in_force": in_force,
            "requests": requests,
            "a_gateway": {"idle": idle, "even changes": changing},
            "real_rss_mb": [round(psutil.Process(pid).memory_info().rss / 2**20, 1) for pid in self.pids],
            "counter": calls,
        }

    async def _begin(self) -> None:
        await self.world.begin(self.load)
        await asyncio.gather(*(child.call("begin") for child in self.hollow))

    async def _read(self) -> tuple[dict[str, Any], list[dict[str, float]]]:
        counted = await self.world.read(self.result, "in the fleet", self.load)
        return counted, list(await asyncio.gather(*(child.call("read") for child in self.hollow)))

    async def _requests(self, seconds: float) -> Any:
        if not self.pids:
            return None
        return await self.load.call("run", rate=self.asked.rate, seconds=seconds, within=seconds + CALL_S)

    async def _work(self, seconds: float, changes: float) -> dict[str, Any]:
        """Even work, under load: what each hollow gateway takes, what clients notice, what was told."""
        await self._begin()
        tell = self.world.discovery.call(
            "tell_evenly", rate=changes, seconds=seconds, within=seconds + CALL_S
        )
        told, requests = await asyncio.gather(tell, self._requests(seconds))
        counted, read = await self._read()
        hollow = max(1, self.asked.hollow)
        watches = self.asked.hollow + self.asked.real
        return {
            "told": told,
            "requests": requests,
            "cpu_ms_per_s": sum(part["cpu_s"] / part["seconds"] for part in read) * 1000 / hollow,
            "state_mb": self.started_mb,  # grown at the start, for each gateway
            "rss_mb": sum(part["rss_mb"] for part in read) / hollow,
            "discovery_bytes_per_s": counted["discovery"]["sent"] / seconds / watches,
        }

    async def _burst(self, size: int) -> tuple[dict[str, Any], Any]:
        """A burst in one message while clients ask: when it was in force, and what they noticed."""
        burst = await self.world.discovery.call("prepare", counts=[size], marked=False)
        await self._begin()
        requests = asyncio.ensure_future(self._requests(self.asked.window))
        await asyncio.sleep(BEFORE_S)
        told = await self.world.discovery.call("tell", number=burst)
        in_force = await self._in_force([told])
        noticed = await requests
        await self._read()
        return in_force, noticed

    async def _in_force(self, told: list[dict[str, Any]]) -> dict[str, Any]:
        """Milliseconds from the telling of changes until they were in force at half, 99 in 100 and all."""
        changes = [(host, message["at"]) for message in told for host in message["hosts"]]
        followed = changes[:: -(-len(changes) // MOST_LOOKED_AT) or 1]
        patience = self.asked.patience
        parts = await asyncio.gather(
            *(
                child.call(
                    "in_force",
                    hosts=[host for host, _ in followed],
                    told_at=[at for _, at in followed],
                    patience=patience,
                    within=patience + CALL_S,
                )
                for child in self.hollow
            )
        )
        rows = [[ms for part in parts for ms in part[place]] for place in range(len(followed))]
        missing = sum(ms < 0 for row in rows for ms in row)
        rows = [sorted(patience * 1000 if ms < 0 else ms for ms in row) for row in rows if row]
        return {
            "changes": len(changes),
            "followed": len(followed),
            "gateways": self.asked.hollow,
            "missing": missing,  # counted with the patience, which is the least that they took
            "half_ms": spread_of([part_of(row, 50) for row in rows]),
            "most_ms": spread_of([part_of(row, 99) for row in rows]),
            "slowest_ms": spread_of([row[-1] for row in rows]),
        }

    async def _calls(self, number: int, customers: int, spread: int) -> dict[str, Any]:
        """The counter's calls a request, for a number of customers and of gateways that serve each."""
        asked = self.asked
        self.progress.print(f"requests of {customers:,} customers, each at {spread} gateways")
        told = {"customers": customers, "gateways": asked.fleet, "spread": spread, "seed": asked.seed}
        await asyncio.gather(
            *(child.call("serve", **told, base=(number + 1) * APART) for child in self.hollow)
        )
        await self._begin()
        await asyncio.gather(*(self._give(child) for child in self.hollow))
        counted, read = await self._read()
        given = sum(part["given"] for part in read)
        count = counted["counter"]
        return {
            "customers": customers,
            "spread": spread,
            "requests": given,
            "served": sum(part["served"] for part in read),
            "calls_a_request": count["calls"] / given if given else 0.0,
            "counter_bytes_per_s": (count["sent"] + count["received"]) / asked.seconds / max(1, asked.hollow),
            "cpu_ms_per_s": sum(part["cpu_s"] / part["seconds"] for part in read)
            * 1000
            / max(1, asked.hollow),
            "rss_mb": sum(part["rss_mb"] for part in read) / max(1, asked.hollow),
        }

    async def _give(self, child: Child) -> None:
        seconds = self.asked.seconds
        await child.call("requests", rate=self.asked.requests, seconds=seconds, within=seconds + CALL_S)


def part_of(ordered: Sequence[float], percent: int) -> float:
    """The value that so many in 100 do not exceed."""
    return ordered[max(0, -(-len(ordered) * percent // 100) - 1)]


def print_result(console: Console, result: Result) -> None:
    show(console, result, *(made(result) for made in (in_force, clients, work, counter)))


def cases(result: Result, part: str) -> list[tuple[str, dict[str, Any]]]:
    """The cases of one part of what was measured, of all programs, each with its name."""
    return [
        (name + result.label(program), case)
        for program, measured in result.measured.items()
        for name, case in measured[part].items()
        if case is not None
    ]


def in_force(result: Result) -> Table:
    keys = ("half_ms", "most_ms", "slowest_ms")
    rows = [
        [name, case["changes"], *(three(case[key]) for key in keys), case["missing"]]
        for name, case in cases(result, "in_force")
    ]
    columns = ["changes", "", "at 50 in 100", "at 99 in 100", "at all", "missing"]
    return table("ms until in force at hollow gateways, median (least to most) of the changes", columns, rows)


def clients(result: Result) -> Table:
    rows = [
        [name, *(case[key] for key in ("served", "refused", "failed")), *list(case["added"].values())[1:]]
        for name, case in cases(result, "requests")
    ]
    columns = ["requests", "served", "refused", "failed", "added, 50 in 100", "99 in 100", "most"]
    return table("ms that a real gateway adds to a request", columns, rows)


def work(result: Result) -> Table:
    rows = [
        [name, *(case[key] for key in ("cpu_ms_per_s", "state_mb", "rss_mb", "discovery_bytes_per_s"))]
        for name, case in cases(result, "a_gateway")
    ]
    columns = ["a hollow gateway", "ms/s", "state, MB", "with its part of the process", "discovery, bytes/s"]
    return table("What control work takes", columns, rows)


def counter(result: Result) -> Table:
    keys = ("requests", "served", "calls_a_request", "counter_bytes_per_s", "cpu_ms_per_s", "rss_mb")
    rows = [[name, *(case[key] for key in keys)] for name, case in cases(result, "counter")]
    columns = ["customers", "requests", "served", "calls a request", "bytes/s", "ms/s", "MB"]
    return table("The counter, a hollow gateway", columns, rows)
