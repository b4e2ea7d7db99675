"""The tables of a fleet run."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from .result import Result
from .tables import format_summary, make_table, print_run


def print_result(console: Console, result: Result) -> None:
    """Print how soon changes were in force, what clients noticed, and what a gateway took."""
    tables = (in_force_table(result), client_table(result), work_table(result), counter_table(result))
    print_run(console, result, *tables)


def labelled_cases(result: Result, part: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the cases of one part of what was measured, of all checkouts, each with its label."""
    return [
        (name + result.label(program), case)
        for program, measured in result.measured.items()
        for name, case in measured[part].items()
        if case is not None
    ]


def rows_of(result: Result, part: str, keys: tuple[str, ...]) -> list[list[object]]:
    """Return a row for each case of a part, with the figures of those keys."""
    return [[name, *(case[key] for key in keys)] for name, case in labelled_cases(result, part)]


def in_force_table(result: Result) -> Table:
    """Return how soon changes were in force at hollow gateways."""
    keys = ("half_ms", "most_ms", "slowest_ms")
    rows = [
        [name, case["changes"], *(format_summary(case[key]) for key in keys), case["missing"]]
        for name, case in labelled_cases(result, "in_force")
    ]
    title = "ms until in force at hollow gateways, median (least to most) of the changes"
    return make_table(title, ["changes", "", "at 50 in 100", "at 99 in 100", "at all", "missing"], rows)


def client_table(result: Result) -> Table:
    """Return what clients of real gateways noticed."""
    rows = [
        [
            name,
            *(case[key] for key in ("served", "refused", "failed")),
            *(case["added"][key] for key in ("p50_ms", "p99_ms", "max_ms")),
        ]
        for name, case in labelled_cases(result, "requests")
    ]
    columns = ["requests", "served", "refused", "failed", "added, 50 in 100", "99 in 100", "most"]
    return make_table("ms that a real gateway adds to a request", columns, rows)


def work_table(result: Result) -> Table:
    """Return what control work took."""
    rows = rows_of(result, "a_gateway", ("cpu_ms_per_s", "state_mb", "rss_mb", "discovery_bytes_per_s"))
    columns = ["a hollow gateway", "ms/s", "state, MB", "with its part of the process", "discovery, bytes/s"]
    return make_table("What control work takes", columns, rows)


def counter_table(result: Result) -> Table:
    """Return what the counter was asked."""
    keys = ("requests", "served", "calls_a_request", "counter_bytes_per_s", "cpu_ms_per_s", "rss_mb")
    columns = ["customers", "requests", "served", "calls a request", "bytes/s", "ms/s", "MB"]
    return make_table("The counter, a hollow gateway", columns, rows_of(result, "counter", keys))
