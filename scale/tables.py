"""Results as tables for people."""

from __future__ import annotations

from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from .result import NO_GOALS, Result

GOAL_MET_WORDS = {True: "yes", False: "NO", None: "-"}


def format_value(value: object) -> str:
    """Return a measured value as a table shows it."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def format_summary(summary: dict[str, float]) -> str:
    """Return a median, with the least and the most beside it where they differ."""
    median, least, most = (format_value(summary[name]) for name in ("median", "min", "max"))
    return median if summary["min"] == summary["max"] else f"{median} ({least} to {most})"


def make_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    """Return a table whose first column names the rows."""
    table = Table(title=title, title_justify="left")
    for index, column in enumerate(columns):
        table.add_column(column, justify="right" if index else "left")
    for row in rows:
        table.add_row(*(format_value(value) for value in row))
    return table


def print_run(console: Console, result: Result, *tables: Table) -> None:
    """Print the tables of a run, its goals, and its verdict or why there is none."""
    for program, commit in result.programs.items():
        console.print(f"Program{result.label(program)}: {program} {commit}".rstrip())
    for table in tables:
        console.print(table)
    rows = [
        (goal.what + result.label(program), goal.unit, goal.most, goal.measured, GOAL_MET_WORDS[goal.met])
        for program, goals in result.goals.items()
        for goal in goals
        if goal.measured is not None
    ]
    if rows:
        console.print(make_table("Goals", ["goal", "unit", "at most", "measured", "met"], rows))
    reason = result.why_no_verdict()
    if reason != NO_GOALS:
        console.print(f"No verdict: {reason}." if reason else f"Verdict: {result.verdict()}.")
