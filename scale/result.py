"""The result of a run: figures, goals, the verdict, and the JSON file it goes to."""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from string import ascii_uppercase
from typing import Any

from .checkout import describe_commit
from .errors import RunError, UsageError
from .machine import describe_machine

MAX_LAG_P99_MS = 20.0
"""Fakes that run later than this at the 99th percentile have measured themselves."""

MAX_LAG_MS = 250.0
"""Likewise, of the latest timer."""

NO_GOALS = "no goal figure was measured"


@dataclass
class Goal:
    """A figure that a run is compared with: met where what was measured is no more than `most`."""

    what: str
    unit: str
    most: float
    measured: float | None  # None: this run did not measure it
    cut_short: bool = False  # it took at least what was measured, and was not waited for

    @property
    def met(self) -> bool | None:
        """Whether the goal is met; None where it was not measured."""
        if self.measured is None:
            return None
        return self.measured <= self.most and not self.cut_short


@dataclass
class Result:
    """What a run gave. `lags` are the fakes' own delays, by service and phase."""

    scenario: str
    asked: dict[str, Any]
    programs: dict[str, str]  # the checkouts that are measured, and their commits
    measured: dict[str, Any] = field(default_factory=dict)
    goals: dict[str, list[Goal]] = field(default_factory=dict)  # by the checkout they were measured on
    lags: dict[str, dict[str, float]] = field(default_factory=dict)
    machine: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def begin(cls, scenario: str, asked: Any, programs: Sequence[str]) -> Result:
        """Return the result of a run that begins; `asked` is the scenario's dataclass."""
        commits = {program: describe_commit(program) for program in programs}
        return cls(scenario, asdict(asked), commits, machine=describe_machine())

    def label(self, program: str) -> str:
        """Return the letter that tells a checkout from the others in a table; nothing where it is alone."""
        if len(self.programs) == 1:
            return ""
        return f" {ascii_uppercase[list(self.programs).index(program)]}"

    def note_lag(self, phase: str, lag: dict[str, float]) -> None:
        """Note how late a fake ran; of several notes under one name the largest values count."""
        known = self.lags.get(phase, lag)
        self.lags[phase] = {name: max(value, known[name]) for name, value in lag.items()}

    def why_no_verdict(self) -> str:
        """Return why nothing may be concluded; empty where something may."""
        late = [
            f"{phase} ran late: {lag['p99_ms']:g} ms at the 99th percentile, {lag['max_ms']:g} ms at most"
            for phase, lag in self.lags.items()
            if lag["p99_ms"] > MAX_LAG_P99_MS or lag["max_ms"] > MAX_LAG_MS
        ]
        if late:
            return f"{'; '.join(late)} (bounds {MAX_LAG_P99_MS:g} and {MAX_LAG_MS:g} ms)"
        if all(goal.met is None for goal in self._all_goals()):
            return NO_GOALS
        return ""

    def verdict(self) -> str | None:
        """Return `met` or `not met`, over all measured goals; None where nothing may be concluded."""
        if self.why_no_verdict():
            return None
        return "not met" if any(goal.met is False for goal in self._all_goals()) else "met"

    def _all_goals(self) -> list[Goal]:
        return [goal for goals in self.goals.values() for goal in goals]

    def as_dict(self) -> dict[str, Any]:
        """Return the result as it goes into the JSON file."""
        return {
            "scenario": self.scenario,
            "asked": self.asked,
            "programs": self.programs,
            "machine": self.machine,
            "measured": self.measured,
            "goals": {
                program: [{**vars(goal), "met": goal.met} for goal in goals]
                for program, goals in self.goals.items()
            },
            "standins": self.lags,
            "verdict": self.verdict(),
            "reason": self.why_no_verdict(),
        }


class ResultFile:
    """The JSON file of a run, checked before the run begins."""

    def __init__(self, path: str | None) -> None:
        """None: there is no file.

        Raises:
            UsageError: the file cannot be written.
        """
        self._path = Path(path) if path else None
        if self._path is None:
            return
        try:
            check_writable(self._path)
        except OSError as error:
            raise UsageError(f"--json {path}: cannot be written ({error})") from error

    def write(self, result: Result) -> None:
        """Write the result.

        Raises:
            RunError: the file cannot be written after all.
        """
        if self._path is None:
            return
        try:
            self._path.write_text(json.dumps(result.as_dict(), indent=1) + "\n")
        except OSError as error:
            raise RunError(f"{self._path} could not be written: {error}") from error


def check_writable(path: Path) -> None:
    """Check that a file can be written, without writing it.

    Raises:
        OSError: it cannot.
    """
    if path.is_dir():
        raise IsADirectoryError(f"{path} is a folder")
    with tempfile.TemporaryFile(dir=path.parent):
        pass
    if path.exists() and not os.access(path, os.W_OK):
        raise PermissionError(f"{path} is read-only")
