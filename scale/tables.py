"""Tables of a result for the terminal."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rich.console import Console
from rich.table import Table

from .figures import RepeatSummary
from .result import NO_GOAL_MEASURED, Result

GOAL_STATUS_LABELS: Mapping[bool | None, str] = {True: "yes", False: "NO", None: "-"}
"""Text of the "met" column for each status of a goal; None means that the goal was not measured."""

MIN_VALUE_WITHOUT_DECIMALS = 1000
"""Floating-point values of at least this magnitude are shown without decimal places."""


def format_value(value: object) -> str:
    """Return the text of a measured value in a table."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= MIN_VALUE_WITHOUT_DECIMALS else f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def format_summary(summary: RepeatSummary) -> str:
    """Return the text of a median, followed by the minimum and maximum if these differ."""
    median = format_value(summary["median"])
    if summary["min"] == summary["max"]:
        return median
    return f"{median} ({format_value(summary['min'])} to {format_value(summary['max'])})"


def make_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    """Return a table whose first column holds the titles of the rows."""
    table = Table(title=title, title_justify="left")
    for index, column in enumerate(columns):
        table.add_column(column, justify="right" if index else "left")
    for row in rows:
        table.add_row(*(format_value(value) for value in row))
    return table


def goals_table(result: Result) -> Table | None:
    """Return the table of the measured goals, or None if no goal was measured."""
    rows = [
        (
            goal.name + result.label(program),
            goal.unit,
            goal.limit,
            goal.measured,
            GOAL_STATUS_LABELS[goal.is_met],
        )
        for program, goals in result.goals.items()
        for goal in goals
        if goal.measured is not None
    ]
    return make_table("Goals", ["goal", "unit", "at most", "measured", "met"], rows) if rows else None


def verdict_line(result: Result) -> str | None:
    """Return a line with the verdict, or with the reason why there is none; None if no goal was measured."""
    reason = result.no_verdict_reason()
    if reason == NO_GOAL_MEASURED:
        return None
    return f"No verdict: {reason}." if reason else f"Verdict: {result.verdict()}."


def print_run(console: Console, result: Result, *tables: Table) -> None:
    """Print the measured checkouts, the tables of a run, its goals and its verdict."""
    for program, commit in result.programs.items():
        console.print(f"Program{result.label(program)}: {program} {commit}".rstrip())
    for table in tables:
        console.print(table)
    if (goals := goals_table(result)) is not None:
        console.print(goals)
    if (verdict := verdict_line(result)) is not None:
        console.print(verdict)
