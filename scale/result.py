"""The result of a run: its figures, goals and verdict, and the JSON file that holds them."""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path
from string import ascii_uppercase
from typing import Any

from .checkout import describe_commit
from .errors import RunError, UsageError
from .figures import LatencySummary
from .machine import describe_machine
from .run_options import RunOptions

MAX_LAG_P99_MS = 20.0
"""Limit on the 99th percentile of the timer lag of fakes and clients; above it, a run has no verdict."""

MAX_LAG_MS = 250.0
"""Limit on the maximum of the timer lag of fakes and clients; above it, a run has no verdict."""

NO_GOAL_MEASURED = "no goal figure was measured"


@dataclass(kw_only=True)
class Goal:
    """An upper limit for a figure, and the measured value that is compared with it."""

    name: str
    unit: str
    limit: float
    measured: float | None
    """Measured value of the figure, or None if the run did not measure it."""

    is_lower_bound: bool = False
    """Whether the measurement timed out, so that the true value is at least the measured one."""

    @property
    def is_met(self) -> bool | None:
        """Whether the measured value is complete and within the limit; None if it was not measured."""
        if self.measured is None:
            return None
        return self.measured <= self.limit and not self.is_lower_bound

    def as_dict(self) -> dict[str, Any]:
        """Return the goal as the JSON result holds it."""
        return {**asdict(self), "is_met": self.is_met}


@dataclass(kw_only=True)
class Result:
    """The measurements of a run, with the options, the checkouts and the machine that they depend on."""

    scenario: str
    options: dict[str, Any]
    programs: dict[str, str]
    """Commit of each measured checkout, by its folder."""

    machine: dict[str, Any]
    measured: dict[str, Any] = field(default_factory=dict)
    goals: dict[str, list[Goal]] = field(default_factory=dict)
    """Goals of each measured checkout, by its folder."""

    lags: dict[str, LatencySummary] = field(default_factory=dict)
    """Timer lag of the fake services and clients, by service and phase."""

    @classmethod
    def create(cls, scenario: str, options: RunOptions) -> Result:
        """Return a result without measurements for a run that begins."""
        return cls(
            scenario=scenario,
            options=asdict(options),
            programs={program: describe_commit(program) for program in options.programs},
            machine=describe_machine(),
        )

    def label(self, program: str) -> str:
        """Return the checkout's mark in tables: a space and a letter, or "" if it is the only checkout."""
        if len(self.programs) == 1:
            return ""
        return f" {ascii_uppercase[list(self.programs).index(program)]}"

    def record_lag(self, phase: str, lag: LatencySummary) -> None:
        """Record a timer lag; of several records for one service and phase, keep the largest values."""
        previous = self.lags.get(phase, lag)
        self.lags[phase] = {
            "count": max(previous["count"], lag["count"]),
            "p50_ms": max(previous["p50_ms"], lag["p50_ms"]),
            "p99_ms": max(previous["p99_ms"], lag["p99_ms"]),
            "max_ms": max(previous["max_ms"], lag["max_ms"]),
        }

    def no_verdict_reason(self) -> str:
        """Return why the run has no verdict, or "" if it has one."""
        late = [
            f"{phase} ran late: {lag['p99_ms']:g} ms at the 99th percentile, {lag['max_ms']:g} ms at most"
            for phase, lag in self.lags.items()
            if lag["p99_ms"] > MAX_LAG_P99_MS or lag["max_ms"] > MAX_LAG_MS
        ]
        if late:
            return f"{'; '.join(late)} (limits {MAX_LAG_P99_MS:g} and {MAX_LAG_MS:g} ms)"
        if all(goal.is_met is None for goal in self._all_goals()):
            return NO_GOAL_MEASURED
        return ""

    def verdict(self) -> str | None:
        """Return `met` or `not met` for all measured goals together, or None if the run has no verdict."""
        if self.no_verdict_reason():
            return None
        return "not met" if any(goal.is_met is False for goal in self._all_goals()) else "met"

    def _all_goals(self) -> list[Goal]:
        return [goal for goals in self.goals.values() for goal in goals]

    def as_dict(self) -> dict[str, Any]:
        """Return the result as the JSON file holds it."""
        return {
            "scenario": self.scenario,
            "options": self.options,
            "programs": self.programs,
            "machine": self.machine,
            "measured": self.measured,
            "goals": goals_as_dict(self.goals),
            "timer_lag": self.lags,
            "verdict": self.verdict(),
            "reason": self.no_verdict_reason(),
        }


def goals_as_dict(goals: Mapping[str, list[Goal]]) -> dict[str, list[dict[str, Any]]]:
    """Return the goals of each checkout as the JSON file holds them."""
    return {program: [goal.as_dict() for goal in program_goals] for program, program_goals in goals.items()}


class ResultFile:
    """The JSON file of a run. Whether it can be written is checked before the run begins."""

    def __init__(self, path: str | None) -> None:
        """Check that the file can be written; without a `path` no result is written.

        Raises:
            UsageError: the file cannot be written.
        """
        self._path = Path(path) if path else None
        if self._path is not None:
            check_writable(self._path)

    def write(self, result: Result) -> None:
        """Write the result to the file, if there is one.

        Raises:
            RunError: the file has become unwritable since the run began.
        """
        if self._path is None:
            return
        try:
            self._path.write_text(json.dumps(result.as_dict(), indent=1) + "\n")
        except OSError as error:
            raise RunError(f"the result cannot be written to {self._path}: {error}") from error


def check_writable(path: Path) -> None:
    """Check that a result file can be written, without writing to it.

    Raises:
        UsageError: the file cannot be written.
    """
    if path.is_dir():
        raise UsageError(f"--json {path}: cannot be written, it is a folder")
    if path.exists() and not os.access(path, os.W_OK):
        raise UsageError(f"--json {path}: cannot be written, the file is read-only")
    try:
        with tempfile.TemporaryFile(dir=path.parent):
            pass
    except OSError as error:
        raise UsageError(f"--json {path}: cannot be written ({error})") from error
