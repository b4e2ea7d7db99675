"""Many gateways at once: how soon changes are in force, what each takes, and what clients notice."""

from __future__ import annotations

from dataclasses import dataclass

from rich.console import Console

from .fleet_options import FleetOptions
from .fleet_run import FleetRun
from .result import Goal, Result
from .supervisor import Supervisor

MAX_IN_FORCE_MS = 1_000.0
"""Goal: until a change is in force at the slowest gateway."""


@dataclass(frozen=True)
class Fleet(FleetOptions):
    """The scenario: the fleet of each checkout, one after another."""

    async def run(self, progress: Console) -> Result:
        """Measure the fleet of each checkout, one after another.

        Raises:
            RunError: a process failed.
        """
        result = Result.begin("fleet", self, self.programs)
        for program in self.programs:
            async with Supervisor() as supervisor:
                run = await FleetRun.start(self, result, progress, supervisor, program)
                measured = result.measured[program] = await run.measure()
            slowest_ms = max(case["slowest_ms"]["max"] for case in measured["in_force"].values())
            goal = Goal("a change in force at the slowest gateway", "ms", MAX_IN_FORCE_MS, slowest_ms)
            result.goals[program] = [goal]
        return result
