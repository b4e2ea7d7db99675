"""Fleet scenario: change propagation over many gateways, the cost of each gateway, and client requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from rich.console import Console

from .fleet_options import FleetOptions
from .fleet_run import FleetRun
from .result import Goal, Result
from .supervisor import Supervisor

MAX_PROPAGATION_MS = 1_000.0
"""Goal: milliseconds until the slowest gateway has applied a change."""


@dataclass(frozen=True, kw_only=True)
class FleetScenario(FleetOptions):
    """The fleet scenario and its options; it measures each checkout."""

    async def run(self, progress: Console) -> Result:
        """Measure the fleet of each checkout, one after another.

        Raises:
            RunError: a process failed.
        """
        result = Result.create("fleet", self)
        for program in self.programs:
            progress.print(
                f"starting {self.hollow_gateways} hollow and {self.real_gateways} real gateways of {program}"
            )
            async with Supervisor() as supervisor:
                fleet = await FleetRun.start(self, supervisor, program=program, result=result)
                progress.print(f"ready: {self.started_gateways} gateways")
                measured = result.measured[program] = await fleet.measure(progress)
            result.goals[program] = [propagation_goal(measured)]
        return result


def propagation_goal(measured: dict[str, Any]) -> Goal:
    """Return the goal for the propagation to the slowest gateway, over all phases of one checkout."""
    return Goal(
        name="change applied by the slowest gateway",
        unit="ms",
        limit=MAX_PROPAGATION_MS,
        measured=max(phase["max_ms"]["max"] for phase in measured["propagation"].values()),
    )
