"""Results: goal figures and verdicts, the JSON of a run, and tables for people."""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from string import ascii_uppercase
from typing import Any

from rich.console import Console
from rich.table import Table

from .errors import RunProblem, UsageProblem
from .machine import facts
from .program import commit

LATE_P99_MS, LATE_MAX_MS = 20.0, 250.0  # a stand-in later than this has measured itself
MET = {True: "yes", False: "NO", None: "-"}
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
        return None if self.measured is None else self.measured <= self.most and not self.cut_short


@dataclass
class Result:
    """What a run gave. `lags` are the stand-ins' own delays, by what was measured meanwhile."""

    scenario: str
    asked: dict[str, Any]
    programs: dict[str, str]  # the checkouts that are measured, and their commits
    measured: dict[str, Any] = field(default_factory=dict)
    goals: dict[str, list[Goal]] = field(default_factory=dict)  # by the program they were measured on
    lags: dict[str, dict[str, float]] = field(default_factory=dict)
    machine: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def of(cls, scenario: str, asked: Any, programs: Sequence[str]) -> Result:
        """The result of a run that begins, as `asked` (a dataclass) says."""
        named = {program: commit(program) for program in programs}
        return cls(scenario, asdict(asked), named, machine=facts())

    def label(self, program: str) -> str:
        """What tells a program from the others in a table: a letter, and nothing where there is one only."""
        return f" {ascii_uppercase[list(self.programs).index(program)]}" if len(self.programs) > 1 else ""

    def late(self, where: str, lag: dict[str, float]) -> None:
        """Note how late a stand-in ran; of several notes under one name the latest counts."""
        known = self.lags.get(where)
        self.lags[where] = {k: max(v, known[k]) for k, v in lag.items()} if known else dict(lag)

    def why_no_verdict(self) -> str:
        """Why nothing may be concluded; empty where something may."""
        late = [
            f"{where} ran late: {lag['p99_ms']:g} ms at the 99th percentile, {lag['max_ms']:g} ms at most"
            for where, lag in self.lags.items()
            if lag["p99_ms"] > LATE_P99_MS or lag["max_ms"] > LATE_MAX_MS
        ]
        if late:
            bound = f" (bounds {LATE_P99_MS:g} and {LATE_MAX_MS:g} ms)"
            return "; ".join(late) + bound
        if not any(goal.met is not None for goals in self.goals.values() for goal in goals):
            return NO_GOALS
        return ""

    def verdict(self) -> str | None:
        """`met` or `not met`, over all goals that were measured; None where nothing may be concluded."""
        if self.why_no_verdict():
            return None
        met = all(goal.met is not False for goals in self.goals.values() for goal in goals)
        return "met" if met else "not met"

    def as_dict(self) -> dict[str, Any]:
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
    """The file that a run's JSON goes to, tried before the run. UsageProblem if it cannot be written."""

    def __init__(self, path: str | None) -> None:
        self.path = Path(path) if path else None
        if self.path is None:
            return
        try:
            if self.path.is_dir():
                raise IsADirectoryError(f"{path} is a folder")
            with tempfile.TemporaryFile(dir=self.path.parent):
                pass
            if self.path.exists() and not os.access(self.path, os.W_OK):
                raise PermissionError(f"{path} is read-only")
        except OSError as error:
            raise UsageProblem(f"--json {path}: cannot be written ({error})") from error

    def write(self, result: Result) -> None:
        """RunProblem if it cannot be written after all."""
        if self.path is not None:
            try:
                self.path.write_text(json.dumps(result.as_dict(), indent=1) + "\n")
            except OSError as error:
                raise RunProblem(f"{self.path} could not be written: {error}") from error


def number(value: object) -> str:
    """A measured value as a table shows it."""
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return "-" if value is None else f"{value:,}" if isinstance(value, int) else str(value)


def three(values: dict[str, float]) -> str:
    """A median, with the least and the most beside it where they differ."""
    if values["min"] == values["max"]:
        return number(values["median"])
    return f"{number(values['median'])} ({number(values['min'])} to {number(values['max'])})"


def table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    made = Table(title=title, title_justify="left")
    for place, column in enumerate(columns):
        made.add_column(column, justify="right" if place else "left")
    for row in rows:
        made.add_row(*(number(value) for value in row))
    return made


def show(console: Console, result: Result, *tables: Table) -> None:
    """Print the tables of a run, its goals, and its verdict or why there is none."""
    for program, named in result.programs.items():
        console.print(f"Program{result.label(program)}: {program} {named}".rstrip())
    for made in tables:
        console.print(made)
    rows = [
        (goal.what + result.label(program), goal.unit, goal.most, goal.measured, MET[goal.met])
        for program, goals in result.goals.items()
        for goal in goals
        if goal.measured is not None
    ]
    if rows:
        console.print(table("Goals", ["goal", "unit", "at most", "measured", "met"], rows))
    reason = result.why_no_verdict()
    if reason != NO_GOALS:
        console.print(f"No verdict: {reason}." if reason else f"Verdict: {result.verdict()}.")
