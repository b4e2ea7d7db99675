"""Tables of a control run."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from .control_figures import SMALL_LIST_SIZE
from .result import Result
from .tables import format_summary, make_table, print_run

ROWS = (
    ("idle, processor time in the interval of single changes", "idle_cpu_ms"),
    ("single change, processor time beyond idle", "single_change_cpu_ms"),
    ("single change, stall by processor time", "single_change_each_stall_cpu_ms"),
    ("burst in one message, changes", "burst_changes"),
    ("burst in one message, processor time", "burst_cpu_ms"),
    ("burst in one message, longest stall by processor time", "burst_stall_cpu_ms"),
    ("burst in one message, longest stall by wall time", "burst_stall_wall_ms"),
    ("burst of single messages, processor time", "messages_cpu_ms"),
    ("burst of single messages, longest stall by processor time", "messages_stall_cpu_ms"),
    ("burst of single messages, longest stall by wall time", "messages_stall_wall_ms"),
    ("snapshot at a start, processor time", "start_cpu_ms"),
    ("snapshot at a start, longest stall by processor time", "start_stall_cpu_ms"),
    ("snapshot at a start, longest stall by wall time", "start_stall_wall_ms"),
    ("memory after the start, MB", "start_rss_mb"),
    ("memory at the end, MB", "end_rss_mb"),
    (f"memory over that with {SMALL_LIST_SIZE} backends, MB", "growth_mb"),
)
"""Title and figure name of each row of the control table."""

STEADY_ROWS = (
    ("processor time, ms/s", "cpu_ms_per_s"),
    ("memory, MB", "rss_mb"),
    ("discovery, bytes/s", "discovery_bytes_per_s"),
    ("counter, bytes/s", "counter_bytes_per_s"),
    ("counter, calls per request", "calls_per_request"),
)
"""Title and figure name of each row that a phase has in the steady table."""


def print_result(console: Console, result: Result) -> None:
    """Print the figures, with a column for each list size and checkout."""
    columns = {
        f"{size:,}{result.label(program)}": measured[str(size)]
        for size in result.options["list_sizes"]
        for program, measured in result.measured.items()
    }
    print_run(console, result, control_table(result, columns), steady_table(columns))


def control_table(result: Result, columns: dict[str, Any]) -> Table:
    """Return the table of single changes, bursts, startup and memory."""
    figures = list(columns.values())
    rows: list[list[object]] = [
        [title, *(format_summary(column[name]) for column in figures)]
        for title, name in ROWS
        if name in figures[0]
    ]
    if any(column["is_lower_bound"] for column in figures):
        completions = ["no" if column["is_lower_bound"] else "yes" for column in figures]
        rows.append(["burst of single messages, all applied in time", *completions])
    options = result.options
    title = f"ms, median (min to max) of {options['repeats']} repeats; burst of {options['burst_size']:,}"
    return make_table(title, ["by number of backends", *columns], rows)


def steady_table(columns: dict[str, Any]) -> Table:
    """Return the table of the steady phases."""
    figures = [column["steady"] for column in columns.values()]
    rows = [
        [f"{phase}: {title}", *(format_summary(steady[phase][name]) for steady in figures)]
        for phase in figures[0]
        for title, name in STEADY_ROWS
        if any(steady[phase][name]["max"] for steady in figures)
    ]
    return make_table("Steady state", ["by number of backends", *columns], rows)
