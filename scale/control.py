"""The control scenario, which measures one gateway's control work by list size, customers and change rate."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rich.console import Console

from . import machine
from .control_bench import ControlBench
from .control_figures import SMALL_LIST_SIZE, ControlFigures, evaluate_goals
from .control_options import ControlOptions, SteadyPhase
from .customers import CustomerPopulation
from .environment import Environment
from .figures import StartMeasurement
from .result import Result
from .supervisor import Supervisor


@dataclass(frozen=True, kw_only=True)
class ControlCase:
    """One checkout at one list size: its figures, and the run's result, which receives the timer lag."""

    program: str
    list_size: int
    figures: ControlFigures
    result: Result


@dataclass(frozen=True, kw_only=True)
class ControlScenario(ControlOptions):
    """Measures each checkout at each list size."""

    async def run(self, progress: Console) -> Result:
        """Measure each checkout at each list size in turn, as often as the options say.

        Raises:
            RunError: a process failed.
        """
        result = Result.create("control", self)
        cases = [
            ControlCase(program=program, list_size=size, figures=ControlFigures(), result=result)
            for size in self.list_sizes
            for program in self.programs
        ]
        for repeat in range(1, self.repeats + 1):
            for case in cases:
                progress.print(
                    f"repeat {repeat} of {self.repeats}: {case.list_size:,} backends, {case.program}"
                )
                await self._measure_processor_time(case)
                await self._measure_stalls(case)
        for program in self.programs:
            self._summarize(result, program, [case for case in cases if case.program == program])
        return result

    def _summarize(self, result: Result, program: str, cases: list[ControlCase]) -> None:
        """Add one checkout's figures and goals to the result."""
        by_size = {case.list_size: case.figures for case in cases}
        if SMALL_LIST_SIZE in by_size:
            for figures in by_size.values():
                figures.record_memory_growth(by_size[SMALL_LIST_SIZE])
        measured = {str(size): figures.as_dict() for size, figures in by_size.items()}
        result.measured[program] = measured
        result.goals[program] = evaluate_goals(measured, self.burst_size)

    async def _start_bench(
        self, supervisor: Supervisor, case: ControlCase, *, probe_loop: bool
    ) -> ControlBench:
        environment = await Environment.start(
            supervisor,
            backends=case.list_size,
            seed=self.seed,
            with_backends=False,
            stall_ms=self.stall_ms,
        )
        gateway = await supervisor.start("measured", Path(case.program))
        await environment.begin_phase()
        customers = CustomerPopulation(
            count=max(self.customers),
            gateways=self.fleet,
            gateways_per_customer=self.gateways_per_customer,
            seed=self.seed,
        )
        start_measurement: StartMeasurement = await gateway.call(
            "start", config=environment.config(0, self.fleet), probe_loop=probe_loop, customers=customers
        )
        await environment.wait_for_watches(1)
        return ControlBench(
            environment=environment,
            gateway=gateway,
            result=case.result,
            phase=f"{case.list_size:,} backends",
            single_changes=self.single_changes,
            start_measurement=start_measurement,
        )

    async def _measure_processor_time(self, case: ControlCase) -> None:
        """Measure processor time, memory and traffic, without the event-loop probe."""
        figures = case.figures
        async with Supervisor() as supervisor:
            bench = await self._start_bench(supervisor, case, probe_loop=False)
            await self._record_start(figures, bench)
            await self._measure_single_changes(figures, bench)
            burst = await bench.run_burst([self.burst_size])
            figures.record("burst_cpu_ms", burst["cpu_ms"])
            figures.record("burst_changes", min(self.burst_size, case.list_size - 1))
            for phase in self.steady_phases():
                figures.record_steady(phase.name, await self._run_steadily(bench, phase))
            messages = await bench.run_single_messages(self.burst_size, self.messages_timeout_s)
            figures.record("messages_cpu_ms", messages["cpu_ms"])
            figures.record_completion(messages)
            figures.record("end_rss_mb", machine.resident_mb(bench.gateway.pid))

    async def _record_start(self, figures: ControlFigures, bench: ControlBench) -> None:
        measurement = bench.start_measurement
        counts = await bench.read()
        figures.record("start_cpu_ms", measurement["cpu_ms"])
        figures.record("start_gc_ms", measurement["gc_ms"])
        figures.record("start_rss_mb", measurement["rss_mb"])
        figures.record("start_bytes", counts["discovery"]["sent"])

    async def _measure_single_changes(self, figures: ControlFigures, bench: ControlBench) -> None:
        idle_cpu_ms = await bench.measure_idle_cpu_ms()
        figures.record("idle_cpu_ms", idle_cpu_ms)
        measurement = await bench.run_single_changes()
        for cpu_ms in measurement["update_cpu_ms"]:
            figures.record("single_change_cpu_ms", max(0.0, cpu_ms - idle_cpu_ms))

    async def _run_steadily(self, bench: ControlBench, phase: SteadyPhase) -> dict[str, float]:
        """Run a steady phase; return its processor time, memory and traffic."""
        measurement = await bench.run_steadily(
            change_rate=phase.change_rate,
            request_rate=self.request_rate if phase.customers else 0.0,
            seconds=self.steady_s,
        )
        counts = await bench.read()
        await bench.wait_for_backlog()
        counter = counts["counter"]
        return {
            "cpu_ms_per_s": measurement["cpu_ms"] / self.steady_s,
            "rss_mb": measurement["rss_mb"],
            "discovery_bytes_per_s": counts["discovery"]["sent"] / self.steady_s,
            "counter_bytes_per_s": (counter["sent"] + counter["received"]) / self.steady_s,
            "calls_per_request": counter["calls"] / measurement["sent"] if measurement["sent"] else 0.0,
        }

    async def _measure_stalls(self, case: ControlCase) -> None:
        """Measure event-loop stalls, with the event-loop probe."""
        figures = case.figures
        async with Supervisor() as supervisor:
            bench = await self._start_bench(supervisor, case, probe_loop=True)
            await bench.read()
            figures.record_stalls("start", bench.start_measurement)
            single_changes = await bench.run_single_changes()
            figures.record_stalls("single_change", single_changes)
            for cpu_ms in single_changes["update_stall_cpu_ms"]:
                figures.record("single_change_each_stall_cpu_ms", cpu_ms)
            figures.record_stalls("burst", await bench.run_burst([self.burst_size]))
            messages = await bench.run_single_messages(self.burst_size, self.messages_timeout_s)
            figures.record_stalls("messages", messages)
            figures.record_completion(messages)
