"""What one gateway's control work takes, by size of list, customers and changes a second."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import psutil
from rich.console import Console

from . import machine
from .children import CALL_S, Child, Children
from .errors import LateProblem, RunProblem
from .histogram import spread
from .report import Goal, Result, show, table, three
from .world import World

SINGLE_RATE = 8.0  # changes a second that come alone
BURST_S = 60.0  # how long anything but a burst of single messages may take
SLACK_S = 3.0  # over its patience, until a process that does not answer counts as held up
SMALL, MIDDLE, TARGET, BURST = 200, 2_000, 39_000, 5_000  # sizes that the goals name
ONE_MS, FLAT, BURST_MS, MESSAGES_MS, LIST_MS, LIST_HOLD_MS, MEMORY_MB = 0.1, 2.0, 2.0, 600.0, 400.0, 5.0, 48.0

Figures = dict[str, list[float]]  # measured values by name, one a repeat


@dataclass
class Steady:
    """A time of even work: changes and requests a second; a gateway's customers follow from the fleet's."""

    changes: float
    customers: int

    @property
    def name(self) -> str:
        return f"{self.changes:g} changes/s, {self.customers:,} customers"


@dataclass(frozen=True)
class Control:
    """What to run. Rates are per second; `patience` is in seconds, for the burst of single messages."""

    backends: tuple[int, ...]
    changes: tuple[float, ...]
    customers: tuple[int, ...]
    requests: float
    fleet: int
    spread: int
    alone: int
    burst: int
    steady: float
    patience: float
    repeats: int
    seed: int
    programs: tuple[str, ...]
    stall: float = 0.0

    def check(self) -> None:
        """UsageProblem for sizes that this machine has no room for."""
        most = max(self.backends)
        met = sum(min(n * self.spread / self.fleet, self.requests * self.steady) for n in self.customers)
        state = machine.gateway_mb(most, met)
        here = state + machine.reading_mb(most) + machine.discovery_mb(most, 1) + 4 * machine.PROCESS_MB
        machine.check(here, 4)

    def spells(self) -> list[Steady]:
        """Changes without customers, then customers without changes."""
        return [Steady(changes, 0) for changes in self.changes] + [
            Steady(0.0, customers) for customers in self.customers if customers
        ]

    async def run(self, progress: Console) -> Result:
        """Measure each program at each size, as often as asked. RunProblem where a process fails."""
        result = Result.of("control", self, self.programs)
        columns = {program: {size: Column() for size in self.backends} for program in self.programs}
        for repeat in range(self.repeats):
            for size in self.backends:
                for program in self.programs:
                    progress.print(f"repeat {repeat + 1} of {self.repeats}: {size:,} backends, {program}")
                    column = columns[program][size]
                    await self._processor(column, size, program, result)
                    await self._holdups(column, size, program, result)
        for sizes in columns.values():
            if SMALL in sizes:
                for column in sizes.values():
                    column.note_memory(sizes[SMALL])
        for program, sizes in columns.items():
            result.measured[program] = {str(size): column.as_dict() for size, column in sizes.items()}
            result.goals[program] = goals(result.measured[program], self.burst)
        return result

    async def _begin(
        self, children: Children, size: int, program: str, result: Result, ticker: bool
    ) -> Bench:
        world = await World.start(children, size, self.seed, None, self.stall)
        child = await children.start("measured", Path(program))
        customers = {"customers": max(self.customers), "gateways": self.fleet, "spread": self.spread}
        bench = Bench(world, child, result, f"{size:,} backends", self.alone)
        await world.begin()
        bench.start = await child.call(
            "start",
            config=world.config(0, self.fleet),
            ticker=ticker,
            customers={**customers, "seed": self.seed},
        )
        await world.watched(1)
        return bench

    async def _processor(self, column: Column, size: int, program: str, result: Result) -> None:
        """The pass without the ticker: processor time, memory and bytes."""
        async with Children() as children:
            bench = await self._begin(children, size, program, result, ticker=False)
            note = column.note
            note("start_cpu_ms", bench.start["cpu_ms"])
            note("start_collect_ms", bench.start["collect_ms"])
            note("start_rss_mb", bench.start["rss_mb"])
            note("start_bytes", (await bench.read())["discovery"]["sent"])
            idle_ms = await bench.idle()
            note("idle_ms", idle_ms)
            taken = await bench.singles()
            for ms in taken["each_ms"]:
                note("one_cpu_ms", max(0.0, ms - idle_ms))
            taken = await bench.told([self.burst])
            note("burst_cpu_ms", taken["cpu_ms"])
            note("burst_changes", min(self.burst, size - 1))
            for spell in self.spells():
                await self._spell(bench, column, spell, result)
            taken = await bench.messages(self.burst, self.patience)
            note("messages_cpu_ms", taken["cpu_ms"])
            column.unfinished |= not taken["done"]
            note("end_rss_mb", psutil.Process(bench.child.pid).memory_info().rss / 2**20)

    async def _spell(self, bench: Bench, column: Column, spell: Steady, result: Result) -> None:
        await bench.world.begin()
        told = bench.world.discovery.call("tell_evenly", rate=spell.changes, seconds=self.steady)
        rate = self.requests if spell.customers else 0.0
        work = bench.child.call("steady", requests=rate, seconds=self.steady, within=self.steady + CALL_S)
        taken, _ = await asyncio.gather(work, told)
        counted = await bench.read()
        await bench.told([])  # what it fell behind with is no later one's
        figures = column.steady.setdefault(spell.name, {})
        values = {
            "cpu_ms_per_s": taken["cpu_ms"] / self.steady,
            "rss_mb": taken["rss_mb"],
            "discovery_bytes_per_s": counted["discovery"]["sent"] / self.steady,
            "counter_bytes_per_s": sum(counted["counter"][way] for way in ("sent", "received")) / self.steady,
            "calls_a_request": counted["counter"]["calls"] / taken["given"] if taken["given"] else 0.0,
        }
        for name, value in values.items():
            figures.setdefault(name, []).append(value)

    async def _holdups(self, column: Column, size: int, program: str, result: Result) -> None:
        """The pass with the ticker: how long the event loop is held up."""
        async with Children() as children:
            bench = await self._begin(children, size, program, result, ticker=True)
            await bench.read()
            column.hold("start", bench.start)
            taken = await bench.singles()
            column.hold("one", taken)
            for gap in taken["each"]:
                column.note("one_each_hold_ms", gap["cpu"])
            column.hold("burst", await bench.told([self.burst]))
            taken = await bench.messages(self.burst, self.patience)
            column.hold("messages", taken)
            column.unfinished |= not taken["done"]


@dataclass
class Column:
    """What one program took at one size of list."""

    figures: Figures = field(default_factory=dict)
    steady: dict[str, Figures] = field(default_factory=dict)
    unfinished: bool = False  # the single messages were not all in force in time: their figures are too low

    def note(self, name: str, value: float) -> None:
        self.figures.setdefault(name, []).append(value)

    def note_memory(self, small: Column) -> None:
        """What the list takes, one value a repeat: memory over that with a small list.

        After the start or at the end, whichever is more.
        """
        names = ("start_rss_mb", "end_rss_mb")
        here, there = ([column.figures[name] for name in names] for column in (self, small))
        grown = [
            [mb - less for mb, less in zip(*pair, strict=True)] for pair in zip(here, there, strict=True)
        ]
        self.figures["over_small_mb"] = [max(pair) for pair in zip(*grown, strict=True)]

    def hold(self, what: str, taken: dict[str, Any]) -> None:
        """The longest gap by processor time, which other work adds nothing to, and by the clock."""
        self.note(f"{what}_hold_ms", taken["most"]["cpu"])
        self.note(f"{what}_hold_wall_ms", taken["longest"]["wall"])

    def as_dict(self) -> dict[str, Any]:
        """Each figure as `min`, `median` and `max`."""
        return {
            **{name: spread(values) for name, values in self.figures.items()},
            "steady": {
                name: {key: spread(values) for key, values in figures.items()}
                for name, figures in self.steady.items()
            },
            "unfinished": self.unfinished,
        }


@dataclass
class Bench:
    """One measured gateway among its stand-ins."""

    world: World
    child: Child
    result: Result
    where: str
    alone: int  # changes that come alone
    start: dict[str, Any] = field(default_factory=dict)

    async def idle(self) -> float:
        """Milliseconds of processor time without changes, in the time between two that come alone."""
        await self._begin()
        await asyncio.sleep(self.alone / SINGLE_RATE)
        taken = await self.child.call("end", patience=0.0)
        return float(taken["cpu_ms"]) / self.alone

    async def singles(self) -> dict[str, Any]:
        """Changes that come one at a time."""
        await self._begin()
        await self.call("tell_evenly", rate=SINGLE_RATE, seconds=self.alone / SINGLE_RATE)
        return await self._end(await self.call("prepare", counts=[], marked=True), BURST_S)

    async def told(self, counts: list[int]) -> dict[str, Any]:
        """Messages of so many changes each, written at once."""
        burst = await self.call("prepare", counts=counts, marked=True)
        await self._begin()
        return await self._end(burst, BURST_S)

    async def messages(self, count: int, patience: float) -> dict[str, Any]:
        """So many messages of one change each, written at once.

        A process that is not done after `patience` seconds, or no longer answers, took at least what it has
        taken until then: `done` tells.
        """
        burst = await self.call("prepare", counts=[1] * count, marked=True)
        await self._begin()
        process = psutil.Process(self.child.pid)
        before = sum(process.cpu_times()[:2])
        try:
            return await self._end(burst, patience, must=False)
        except LateProblem:
            taken = (sum(process.cpu_times()[:2]) - before) * 1000
            gap = {"cpu": taken, "wall": (patience + SLACK_S) * 1000}
            return {"done": False, "cpu_ms": taken, "longest": gap, "most": gap}

    async def read(self) -> dict[str, Any]:
        return await self.world.read(self.result, self.where)

    async def call(self, do: str, **given: Any) -> Any:
        return await self.world.discovery.call(do, **given)

    async def _begin(self) -> None:
        await self.world.begin()
        await self.child.call("begin", marker=await self.call("marker"))

    async def _end(self, burst: int, patience: float, must: bool = True) -> dict[str, Any]:
        """Tell what is left, the marker last; gives what all took, up to the marker in force.

        RunProblem where it must be in force in time and is not.
        """
        await self.call("tell", number=burst)
        taken: dict[str, Any] = await self.child.call("end", patience=patience, within=patience + SLACK_S)
        if must and not taken["done"]:
            raise RunProblem(f"{self.where}: changes were not in force within {patience:g} s")
        await self.read()
        return taken


def goals(measured: dict[str, Any], burst: int) -> list[Goal]:
    """The goal figures of one program; each is compared with the median of the repeats.

    A goal whose sizes the run did not have is not measured: `burst` is the size of the run's.
    """

    def at(size: int, name: str) -> float | None:
        column = measured.get(str(size))
        return float(column[name]["median"]) if column and name in column else None

    def at_burst(name: str) -> float | None:
        return at(TARGET, name) if burst == BURST else None

    one, one_middle = at(TARGET, "one_cpu_ms"), at(MIDDLE, "one_cpu_ms")
    return [
        Goal("one change, processor time at 39,000", "ms", ONE_MS, one),
        Goal(
            "one change, at 39,000 over at 2,000",
            "times",
            FLAT,
            one / max(one_middle, 1e-6) if one is not None and one_middle is not None else None,
        ),
        Goal("5,000 changes in one message, longest hold-up", "ms", BURST_MS, at_burst("burst_hold_ms")),
        Goal(
            "5,000 messages, processor time in all",
            "ms",
            MESSAGES_MS,
            at_burst("messages_cpu_ms"),
            cut_short=bool(measured.get(str(TARGET), {}).get("unfinished")),
        ),
        Goal("whole list at a start, processor time", "ms", LIST_MS, at(TARGET, "start_cpu_ms")),
        Goal("whole list at a start, longest hold-up", "ms", LIST_HOLD_MS, at(TARGET, "start_hold_ms")),
        Goal("memory over a process with 200 backends", "MB", MEMORY_MB, at(TARGET, "over_small_mb")),
    ]


ROWS = (
    ("without changes, processor time in as much time", "idle_ms"),
    ("one change alone, processor time beyond that", "one_cpu_ms"),
    ("one change, hold-up", "one_each_hold_ms"),
    ("burst in one message, changes", "burst_changes"),
    ("burst in one message, processor time", "burst_cpu_ms"),
    ("burst in one message, longest hold-up", "burst_hold_ms"),
    ("burst in one message, by the clock", "burst_hold_wall_ms"),
    ("burst of single messages, processor time", "messages_cpu_ms"),
    ("burst of single messages, longest hold-up", "messages_hold_ms"),
    ("burst of single messages, by the clock", "messages_hold_wall_ms"),
    ("whole list at a start, processor time", "start_cpu_ms"),
    ("whole list at a start, longest hold-up", "start_hold_ms"),
    ("whole list at a start, by the clock", "start_hold_wall_ms"),
    ("memory after the start, MB", "start_rss_mb"),
    ("memory at the end, MB", "end_rss_mb"),
    (f"memory over that with {SMALL} backends, MB", "over_small_mb"),
)
STEADY_ROWS = (
    ("ms/s", "cpu_ms_per_s"),
    ("MB", "rss_mb"),
    ("discovery, bytes/s", "discovery_bytes_per_s"),
    ("counter, bytes/s", "counter_bytes_per_s"),
    ("counter, calls a request", "calls_a_request"),
)


def print_result(console: Console, result: Result) -> None:
    asked = result.asked
    columns = {
        f"{size:,}{result.label(program)}": measured[str(size)]
        for size in asked["backends"]
        for program, measured in result.measured.items()
    }
    taken = list(columns.values())
    rows: list[list[object]] = [
        [title, *(three(column[name]) for column in taken)] for title, name in ROWS if name in taken[0]
    ]
    if any(column["unfinished"] for column in taken):
        late = ["no" if column["unfinished"] else "yes" for column in taken]
        rows.append(["burst of single messages, all in force in time", *late])
    even: list[list[object]] = [
        [f"{spell}: {title}", *(three(column["steady"][spell][name]) for column in taken)]
        for spell in taken[0]["steady"]
        for title, name in STEADY_ROWS
        if any(column["steady"][spell][name]["max"] for column in taken)
    ]
    title = f"ms, median (least to most) of {asked['repeats']}; burst of {asked['burst']:,}"
    heads = ["by number of backends", *columns]
    tables = [table(title, heads, rows), table("Even work", heads, even)]
    show(console, result, *tables)
