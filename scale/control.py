"""What one gateway's control work takes, by size of list, customers and changes a second."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console

from . import machine
from .control_bench import ControlBench
from .control_report import SMALL_LIST, ControlFigures, evaluate_goals
from .environment import Environment
from .result import Result
from .supervisor import CALL_TIMEOUT_S, Supervisor

PROCESSES = 4
"""Of a control run: the leading one, discovery, the counter and the measured gateway."""


@dataclass(frozen=True)
class SteadyPhase:
    """A time of even work: changes a second, and the customers of the whole fleet."""

    changes: float
    customers: int

    @property
    def name(self) -> str:
        """What tables and the JSON call it."""
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
        """Check that this machine has room for these sizes.

        Raises:
            UsageError: it has not.
        """
        backends = max(self.backends)
        customers = sum(
            min(number * self.spread / self.fleet, self.requests * self.steady) for number in self.customers
        )
        needed_mb = machine.gateway_mb(backends, customers) + machine.read_buffer_mb(backends)
        needed_mb += machine.discovery_mb(backends, 1) + PROCESSES * machine.PROCESS_MB
        machine.check_capacity(needed_mb, PROCESSES)

    def steady_phases(self) -> list[SteadyPhase]:
        """Return changes without customers, then customers without changes."""
        with_changes = [SteadyPhase(changes, 0) for changes in self.changes]
        with_customers = [SteadyPhase(0.0, customers) for customers in self.customers if customers]
        return with_changes + with_customers

    async def run(self, progress: Console) -> Result:
        """Measure each checkout at each size, as often as asked.

        Raises:
            RunError: a process failed.
        """
        result = Result.begin("control", self, self.programs)
        figures = {program: {size: ControlFigures() for size in self.backends} for program in self.programs}
        for repeat in range(self.repeats):
            for size in self.backends:
                for program in self.programs:
                    progress.print(f"repeat {repeat + 1} of {self.repeats}: {size:,} backends, {program}")
                    await self._measure_processor(figures[program][size], size, program, result)
                    await self._measure_holdups(figures[program][size], size, program, result)
        for program, by_size in figures.items():
            if SMALL_LIST in by_size:
                for column in by_size.values():
                    column.note_memory_growth(by_size[SMALL_LIST])
            result.measured[program] = {str(size): column.as_dict() for size, column in by_size.items()}
            result.goals[program] = evaluate_goals(result.measured[program], self.burst)
        return result

    async def _start_bench(
        self, supervisor: Supervisor, size: int, program: str, result: Result, *, probe_loop: bool
    ) -> ControlBench:
        environment = await Environment.start(supervisor, backends=size, seed=self.seed, stall_ms=self.stall)
        gateway = await supervisor.start("measured", Path(program))
        bench = ControlBench(environment, gateway, result, f"{size:,} backends", self.alone)
        await environment.begin()
        bench.start_figures = await gateway.call(
            "start",
            config=environment.config(0, self.fleet),
            probe_loop=probe_loop,
            customers={
                "customers": max(self.customers),
                "gateways": self.fleet,
                "spread": self.spread,
                "seed": self.seed,
            },
        )
        await environment.wait_for_watches(1)
        return bench

    async def _measure_processor(
        self, column: ControlFigures, size: int, program: str, result: Result
    ) -> None:
        """Measure processor time, memory and bytes, in a pass without the loop's probe."""
        async with Supervisor() as supervisor:
            bench = await self._start_bench(supervisor, size, program, result, probe_loop=False)
            column.note("start_cpu_ms", bench.start_figures["cpu_ms"])
            column.note("start_collect_ms", bench.start_figures["collect_ms"])
            column.note("start_rss_mb", bench.start_figures["rss_mb"])
            column.note("start_bytes", (await bench.read())["discovery"]["sent"])
            idle_ms = await bench.idle_ms()
            column.note("idle_ms", idle_ms)
            singles = await bench.run_single_changes()
            for change_ms in singles["each_ms"]:
                column.note("one_cpu_ms", max(0.0, change_ms - idle_ms))
            burst = await bench.run_burst([self.burst])
            column.note("burst_cpu_ms", burst["cpu_ms"])
            column.note("burst_changes", min(self.burst, size - 1))
            for phase in self.steady_phases():
                column.note_steady(phase.name, await self._run_steadily(bench, phase))
            messages = await bench.run_messages(self.burst, self.patience)
            column.note("messages_cpu_ms", messages["cpu_ms"])
            column.is_unfinished |= not messages["done"]
            column.note("end_rss_mb", machine.resident_mb(bench.gateway.pid))

    async def _run_steadily(self, bench: ControlBench, phase: SteadyPhase) -> dict[str, float]:
        await bench.environment.begin()
        request_rate = self.requests if phase.customers else 0.0
        announced = bench.environment.discovery.call(
            "announce_evenly", rate=phase.changes, seconds=self.steady
        )
        worked = bench.gateway.call(
            "run_steadily",
            request_rate=request_rate,
            seconds=self.steady,
            timeout_s=self.steady + CALL_TIMEOUT_S,
        )
        taken, _ = await asyncio.gather(worked, announced)
        counts = await bench.read()
        await bench.run_burst([])  # what it fell behind with is no later phase's
        return self._steady_figures(taken, counts)

    def _steady_figures(self, taken: dict[str, Any], counts: dict[str, Any]) -> dict[str, float]:
        counter = counts["counter"]
        return {
            "cpu_ms_per_s": taken["cpu_ms"] / self.steady,
            "rss_mb": taken["rss_mb"],
            "discovery_bytes_per_s": counts["discovery"]["sent"] / self.steady,
            "counter_bytes_per_s": (counter["sent"] + counter["received"]) / self.steady,
            "calls_a_request": counter["calls"] / taken["sent"] if taken["sent"] else 0.0,
        }

    async def _measure_holdups(self, column: ControlFigures, size: int, program: str, result: Result) -> None:
        """Measure how long the event loop is held up, in a pass with the loop's probe."""
        async with Supervisor() as supervisor:
            bench = await self._start_bench(supervisor, size, program, result, probe_loop=True)
            await bench.read()
            column.note_holdups("start", bench.start_figures)
            singles = await bench.run_single_changes()
            column.note_holdups("one", singles)
            for gap in singles["each"]:
                column.note("one_each_hold_ms", gap["cpu"])
            column.note_holdups("burst", await bench.run_burst([self.burst]))
            messages = await bench.run_messages(self.burst, self.patience)
            column.note_holdups("messages", messages)
            column.is_unfinished |= not messages["done"]
