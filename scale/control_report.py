"""The figures of a control run: what is kept of them, the goals they are compared with, and their tables."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rich.console import Console
from rich.table import Table

from .histogram import summarize
from .result import Goal, Result
from .tables import format_summary, make_table, print_run

Figures = dict[str, list[float]]
"""Measured values by name, one a repeat."""

SMALL_LIST = 200
"""Backends of the list that memory is compared with."""

MEDIUM_LIST = 2_000
"""Backends of the list that the time of one change is compared with."""

TARGET_LIST = 39_000
"""Backends of the list that the goals are set for."""

TARGET_BURST = 5_000
"""Changes of the burst that the goals are set for."""

MAX_CHANGE_MS = 0.1
"""Goal: processor time of one change."""

MAX_CHANGE_RATIO = 2.0
"""Goal: that time with the target list over that with the medium one."""

MAX_BURST_HOLD_MS = 2.0
"""Goal: longest hold-up by a burst in one watch event."""

MAX_MESSAGES_MS = 600.0
"""Goal: processor time of a burst of single watch events."""

MAX_SNAPSHOT_MS = 400.0
"""Goal: processor time of the snapshot at a start."""

MAX_SNAPSHOT_HOLD_MS = 5.0
"""Goal: longest hold-up by the snapshot at a start."""

MAX_LIST_MB = 48.0
"""Goal: memory with the target list over that with the small one."""

ROWS = (
    ("without changes, processor time in as much time", "idle_ms"),
    ("one change alone, processor time beyond that", "one_cpu_ms"),
    ("one change, hold-up", "one_each_hold_ms"),
    ("burst in one message, changes", "burst_changes"),
    ("burst in one message, processor time", "burst_cpu_ms"),
    ("burst in one message, longest hold-up", "burst_hold_ms"),
    ("burst in one message, by the clock", "burst_hold_wall_ms"),
    ("burst of single messages, processor time", "messages_cpu_ms"),
    ("burst of single messages, longest hold-up", "messages_hold_ms"),
    ("burst of single messages, by the clock", "messages_hold_wall_ms"),
    ("whole list at a start, processor time", "start_cpu_ms"),
    ("whole list at a start, longest hold-up", "start_hold_ms"),
    ("whole list at a start, by the clock", "start_hold_wall_ms"),
    ("memory after the start, MB", "start_rss_mb"),
    ("memory at the end, MB", "end_rss_mb"),
    (f"memory over that with {SMALL_LIST} backends, MB", "over_small_mb"),
)
"""Titles of the table's rows, and the figures in them."""

STEADY_ROWS = (
    ("ms/s", "cpu_ms_per_s"),
    ("MB", "rss_mb"),
    ("discovery, bytes/s", "discovery_bytes_per_s"),
    ("counter, bytes/s", "counter_bytes_per_s"),
    ("counter, calls a request", "calls_a_request"),
)
"""Likewise, of each time of even work."""

MEMORY_FIGURES = ("start_rss_mb", "end_rss_mb")


@dataclass
class ControlFigures:
    """What one checkout took at one size of list."""

    figures: Figures = field(default_factory=dict)
    steady: dict[str, Figures] = field(default_factory=dict)
    is_unfinished: bool = False  # single messages were not all in force in time: their figures are too low

    def note(self, name: str, value: float) -> None:
        """Add a measured value."""
        self.figures.setdefault(name, []).append(value)

    def note_steady(self, phase: str, values: dict[str, float]) -> None:
        """Add the values of a time of even work."""
        figures = self.steady.setdefault(phase, {})
        for name, value in values.items():
            figures.setdefault(name, []).append(value)

    def note_holdups(self, what: str, taken: dict[str, Any]) -> None:
        """Add the longest gap by processor time, which other work adds nothing to, and by the clock."""
        self.note(f"{what}_hold_ms", taken["most"]["cpu"])
        self.note(f"{what}_hold_wall_ms", taken["longest"]["wall"])

    def note_memory_growth(self, small: ControlFigures) -> None:
        """Add what the list takes, one value a repeat: memory over that with a small list.

        After the start or at the end, whichever is more.
        """
        growth_by_figure = [
            [mb - small_mb for mb, small_mb in zip(self.figures[name], small.figures[name], strict=True)]
            for name in MEMORY_FIGURES
        ]
        self.figures["over_small_mb"] = [max(growths) for growths in zip(*growth_by_figure, strict=True)]

    def as_dict(self) -> dict[str, Any]:
        """Return each figure as `min`, `median` and `max`."""
        return {
            **{name: summarize(values) for name, values in self.figures.items()},
            "steady": {
                phase: {name: summarize(values) for name, values in figures.items()}
                for phase, figures in self.steady.items()
            },
            "unfinished": self.is_unfinished,
        }


def evaluate_goals(measured: dict[str, Any], burst: int) -> list[Goal]:
    """Return the goals of one checkout; each is compared with the median of the repeats.

    A goal whose sizes the run did not have is not measured: `burst` is the size of the run's.
    """

    def median(size: int, name: str) -> float | None:
        figures = measured.get(str(size))
        return float(figures[name]["median"]) if figures and name in figures else None

    def target_burst(name: str) -> float | None:
        return median(TARGET_LIST, name) if burst == TARGET_BURST else None

    change_ms = median(TARGET_LIST, "one_cpu_ms")
    medium_change_ms = median(MEDIUM_LIST, "one_cpu_ms")
    ratio = None
    if change_ms is not None and medium_change_ms is not None:
        ratio = change_ms / max(medium_change_ms, 1e-6)
    is_cut_short = bool(measured.get(str(TARGET_LIST), {}).get("unfinished"))
    burst_hold_ms = target_burst("burst_hold_ms")
    messages_ms = target_burst("messages_cpu_ms")
    snapshot_ms = median(TARGET_LIST, "start_cpu_ms")
    snapshot_hold_ms = median(TARGET_LIST, "start_hold_ms")
    list_mb = median(TARGET_LIST, "over_small_mb")
    return [
        Goal("one change, processor time at 39,000", "ms", MAX_CHANGE_MS, change_ms),
        Goal("one change, at 39,000 over at 2,000", "times", MAX_CHANGE_RATIO, ratio),
        Goal("5,000 changes in one message, longest hold-up", "ms", MAX_BURST_HOLD_MS, burst_hold_ms),
        Goal("5,000 messages, processor time in all", "ms", MAX_MESSAGES_MS, messages_ms, is_cut_short),
        Goal("whole list at a start, processor time", "ms", MAX_SNAPSHOT_MS, snapshot_ms),
        Goal("whole list at a start, longest hold-up", "ms", MAX_SNAPSHOT_HOLD_MS, snapshot_hold_ms),
        Goal("memory over a process with 200 backends", "MB", MAX_LIST_MB, list_mb),
    ]


def print_result(console: Console, result: Result) -> None:
    """Print the figures by size of list, a column for each size and checkout."""
    columns = {
        f"{size:,}{result.label(program)}": measured[str(size)]
        for size in result.asked["backends"]
        for program, measured in result.measured.items()
    }
    print_run(console, result, control_table(result, columns), steady_table(columns))


def control_table(result: Result, columns: dict[str, Any]) -> Table:
    """Return the table of changes, bursts, starts and memory."""
    figures = list(columns.values())
    rows: list[list[object]] = [
        [title, *(format_summary(column[name]) for column in figures)]
        for title, name in ROWS
        if name in figures[0]
    ]
    if any(column["unfinished"] for column in figures):
        answers = ["no" if column["unfinished"] else "yes" for column in figures]
        rows.append(["burst of single messages, all in force in time", *answers])
    asked = result.asked
    title = f"ms, median (least to most) of {asked['repeats']}; burst of {asked['burst']:,}"
    return make_table(title, ["by number of backends", *columns], rows)


def steady_table(columns: dict[str, Any]) -> Table:
    """Return the table of the times of even work."""
    figures = [column["steady"] for column in columns.values()]
    rows = [
        [f"{phase}: {title}", *(format_summary(steady[phase][name]) for steady in figures)]
        for phase in figures[0]
        for title, name in STEADY_ROWS
        if any(steady[phase][name]["max"] for steady in figures)
    ]
    return make_table("Even work", ["by number of backends", *columns], rows)
