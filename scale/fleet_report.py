"""Tables of the results of a fleet run."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from .result import Result
from .tables import format_summary, make_table, print_run


def print_result(console: Console, result: Result) -> None:
    """Print the tables of change propagation, client requests, control work and counter calls."""
    tables = (
        propagation_table(result),
        request_table(result),
        control_work_table(result),
        counter_table(result),
    )
    print_run(console, result, *tables)


def labelled_phases(result: Result, section: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the name and the figures of each phase in a section; names include the label of the checkout."""
    return [
        (name + result.label(program), phase)
        for program, measured in result.measured.items()
        for name, phase in measured[section].items()
        if phase is not None
    ]


def phase_rows(result: Result, section: str, keys: tuple[str, ...]) -> list[list[object]]:
    """Return a table row for each phase in a section: its name and the figures under `keys`."""
    return [[name, *(phase[key] for key in keys)] for name, phase in labelled_phases(result, section)]


def propagation_table(result: Result) -> Table:
    """Return the table of the propagation delays to the hollow gateways."""
    percentiles = ("p50_ms", "p99_ms", "max_ms")
    rows = [
        [name, phase["changes"], *(format_summary(phase[key]) for key in percentiles), phase["missing"]]
        for name, phase in labelled_phases(result, "propagation")
    ]
    title = "Propagation of changes to the hollow gateways, ms, median (min to max) of the changes"
    columns = ["phase", "changes", "p50 of gateways", "p99 of gateways", "last gateway", "missing"]
    return make_table(title, columns, rows)


def request_table(result: Result) -> Table:
    """Return the table of the clients' requests to the real gateways."""
    rows = [
        [
            name,
            *(phase[key] for key in ("served", "rejected", "failed")),
            *(phase["added_latency"][key] for key in ("p50_ms", "p99_ms", "max_ms")),
        ]
        for name, phase in labelled_phases(result, "requests")
    ]
    columns = ["phase", "served", "rejected", "failed", "added, p50", "p99", "max"]
    return make_table("Requests to the real gateways, and the latency that these add, ms", columns, rows)


def control_work_table(result: Result) -> Table:
    """Return the table of the resources that a hollow gateway's control work takes."""
    keys = ("cpu_ms_per_s", "state_mb", "rss_mb", "discovery_bytes_per_s")
    columns = [
        "phase",
        "processor time, ms/s",
        "state, MB",
        "with its share of the process, MB",
        "discovery, bytes/s",
    ]
    return make_table("Control work of a hollow gateway", columns, phase_rows(result, "per_gateway", keys))


def counter_table(result: Result) -> Table:
    """Return the table of the hollow gateways' counter calls."""
    keys = ("requests", "served", "calls_per_request", "counter_bytes_per_s", "cpu_ms_per_s", "rss_mb")
    columns = [
        "customers",
        "requests",
        "served",
        "calls per request",
        "bytes/s per gateway",
        "processor time, ms/s",
        "memory, MB",
    ]
    rows = phase_rows(result, "counter", keys)
    return make_table("Counter calls of the hollow gateways", columns, rows)
