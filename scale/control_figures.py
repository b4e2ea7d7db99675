"""The figures of a control run, and the goals that they are compared with."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .figures import ControlMeasurement, RepeatSummary
from .histogram import summarize
from .result import Goal

FigureValues = dict[str, list[float]]
"""Measured values by name, one a repeat."""

SMALL_LIST_SIZE = 200
"""Backends of the list that memory is compared with."""

MEDIUM_LIST_SIZE = 2_000
"""Backends of the list that the time of one change is compared with."""

TARGET_LIST_SIZE = 39_000
"""Backends of the list that the goals are set for."""

TARGET_BURST_SIZE = 5_000
"""Changes of the burst that the goals are set for."""

MAX_CHANGE_MS = 0.1
"""Goal: processor time of one change."""

MAX_CHANGE_RATIO = 2.0
"""Goal: processor time of one change with the target list over that with the medium one."""

MAX_BURST_STALL_MS = 2.0
"""Goal: longest stall by a burst in one watch event."""

MAX_SINGLE_MESSAGES_MS = 600.0
"""Goal: processor time of a burst of single watch events."""

MAX_SNAPSHOT_MS = 400.0
"""Goal: processor time of the snapshot at a start."""

MAX_SNAPSHOT_STALL_MS = 5.0
"""Goal: longest stall by the snapshot at a start."""

MAX_MEMORY_GROWTH_MB = 48.0
"""Goal: memory with the target list over that with the small one."""

MIN_RATIO_DIVISOR_MS = 1e-6
"""Least processor time of a change that a ratio is taken to."""

MEMORY_FIGURES = ("start_rss_mb", "end_rss_mb")


@dataclass
class ControlFigures:
    """What one checkout took at one size of list."""

    figures: FigureValues = field(default_factory=dict)
    steady: dict[str, FigureValues] = field(default_factory=dict)
    """Figures of each steady phase."""

    is_lower_bound: bool = False
    """Single messages were not all applied in time: their figures are too low."""

    def record(self, name: str, value: float) -> None:
        """Add a measured value."""
        self.figures.setdefault(name, []).append(value)

    def record_steady(self, phase: str, values: dict[str, float]) -> None:
        """Add the values of a steady phase."""
        figures = self.steady.setdefault(phase, {})
        for name, value in values.items():
            figures.setdefault(name, []).append(value)

    def record_completion(self, measurement: ControlMeasurement) -> None:
        """Note whether a burst of single messages was applied in time."""
        if not measurement["is_complete"]:
            self.is_lower_bound = True

    def record_stalls(self, phase: str, measurement: ControlMeasurement) -> None:
        """Add the longest stall by processor time, which other load does not lengthen, and by wall time."""
        self.record(f"{phase}_stall_cpu_ms", measurement["max_stall_cpu_ms"])
        self.record(f"{phase}_stall_wall_ms", measurement["max_stall_wall_ms"])

    def record_memory_growth(self, small_list: ControlFigures) -> None:
        """Add the memory over that with a small list, after the start or at the end, whichever is more."""
        growth_by_figure = [
            [mb - small_mb for mb, small_mb in zip(self.figures[name], small_list.figures[name], strict=True)]
            for name in MEMORY_FIGURES
        ]
        self.figures["growth_mb"] = [max(growths) for growths in zip(*growth_by_figure, strict=True)]

    def as_dict(self) -> dict[str, Any]:
        """Return the figures as they go into the JSON of the run."""
        return {
            **summarize_all(self.figures),
            "steady": {phase: summarize_all(figures) for phase, figures in self.steady.items()},
            "is_lower_bound": self.is_lower_bound,
        }


def summarize_all(figures: FigureValues) -> dict[str, RepeatSummary]:
    """Return the summary of each figure."""
    return {name: summarize(values) for name, values in figures.items()}


@dataclass(frozen=True)
class MeasuredMedians:
    """The medians of one checkout's figures, as far as the run has them."""

    measured: dict[str, Any]

    def median(self, size: int, name: str) -> float | None:
        """Return the median of a figure at a size of list; None where it was not measured."""
        figures = self.measured.get(str(size), {})
        return float(figures[name]["median"]) if name in figures else None

    def change_ratio(self) -> float | None:
        """Return the processor time of one change with the target list over that with the medium one."""
        target_ms = self.median(TARGET_LIST_SIZE, "single_change_cpu_ms")
        medium_ms = self.median(MEDIUM_LIST_SIZE, "single_change_cpu_ms")
        if target_ms is None or medium_ms is None:
            return None
        return target_ms / max(medium_ms, MIN_RATIO_DIVISOR_MS)

    def is_lower_bound(self, size: int) -> bool:
        """Whether the burst of single messages at a size of list timed out."""
        return bool(self.measured.get(str(size), {}).get("is_lower_bound"))


def evaluate_goals(measured: dict[str, Any], burst_size: int) -> list[Goal]:
    """Return the goals of one checkout, compared with the medians of the repeats.

    A goal whose sizes the run did not have is not measured.
    """
    medians = MeasuredMedians(measured)
    return [*change_goals(medians), *burst_goals(medians, burst_size), *start_goals(medians)]


def change_goals(medians: MeasuredMedians) -> list[Goal]:
    """Return the goals for a single change."""
    return [
        Goal(
            name="single change, processor time at 39,000",
            unit="ms",
            limit=MAX_CHANGE_MS,
            measured=medians.median(TARGET_LIST_SIZE, "single_change_cpu_ms"),
        ),
        Goal(
            name="single change, at 39,000 over at 2,000",
            unit="ratio",
            limit=MAX_CHANGE_RATIO,
            measured=medians.change_ratio(),
        ),
    ]


def burst_goals(medians: MeasuredMedians, burst_size: int) -> list[Goal]:
    """Return the goals for bursts; a burst of another size than the target's is not compared."""
    is_comparable = burst_size == TARGET_BURST_SIZE
    return [
        Goal(
            name="5,000 changes in one message, longest stall",
            unit="ms",
            limit=MAX_BURST_STALL_MS,
            measured=medians.median(TARGET_LIST_SIZE, "burst_stall_cpu_ms") if is_comparable else None,
        ),
        Goal(
            name="5,000 single messages, total processor time",
            unit="ms",
            limit=MAX_SINGLE_MESSAGES_MS,
            measured=medians.median(TARGET_LIST_SIZE, "messages_cpu_ms") if is_comparable else None,
            is_lower_bound=medians.is_lower_bound(TARGET_LIST_SIZE),
        ),
    ]


def start_goals(medians: MeasuredMedians) -> list[Goal]:
    """Return the goals for the snapshot at a start and for memory."""
    return [
        Goal(
            name="snapshot at a start, processor time",
            unit="ms",
            limit=MAX_SNAPSHOT_MS,
            measured=medians.median(TARGET_LIST_SIZE, "start_cpu_ms"),
        ),
        Goal(
            name="snapshot at a start, longest stall",
            unit="ms",
            limit=MAX_SNAPSHOT_STALL_MS,
            measured=medians.median(TARGET_LIST_SIZE, "start_stall_cpu_ms"),
        ),
        Goal(
            name="memory over a process with 200 backends",
            unit="MB",
            limit=MAX_MEMORY_GROWTH_MB,
            measured=medians.median(TARGET_LIST_SIZE, "growth_mb"),
        ),
    ]
