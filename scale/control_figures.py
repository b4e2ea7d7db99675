"""Figures of a control run, and the goals that they are compared with."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .figures import ControlMeasurement, RepeatSummary
from .histogram import summarize
from .result import Goal

FigureValues = dict[str, list[float]]
"""Measured values by the name of their figure: one or more per repeat."""

SMALL_LIST_SIZE = 200
"""Backends in the list whose memory is the baseline of the memory growth."""

MEDIUM_LIST_SIZE = 2_000
"""Backends in the list whose time for one change is the baseline of the change ratio."""

TARGET_LIST_SIZE = 39_000
"""Backends in the list that the goals are set for."""

TARGET_BURST_SIZE = 5_000
"""Changes in the burst that the goals are set for."""

MAX_CHANGE_MS = 0.1
"""Goal: highest processor time of one change."""

MAX_CHANGE_RATIO = 2.0
"""Goal: highest processor time of one change with the target list, divided by that with the medium list."""

MAX_BURST_STALL_MS = 2.0
"""Goal: longest event-loop stall, in processor time, from a burst in one watch event."""

MAX_SINGLE_MESSAGES_MS = 600.0
"""Goal: highest processor time of a burst of watch events with one change each."""

MAX_SNAPSHOT_MS = 400.0
"""Goal: highest processor time for the snapshot that a gateway reads at startup."""

MAX_SNAPSHOT_STALL_MS = 5.0
"""Goal: longest event-loop stall, in processor time, from the snapshot at startup."""

MAX_MEMORY_GROWTH_MB = 48.0
"""Goal: highest memory growth from the small list to the target list."""

MIN_RATIO_DIVISOR_MS = 1e-6
"""Lowest divisor of the change ratio, which prevents a division by zero."""

MEMORY_FIGURES = ("start_rss_mb", "end_rss_mb")


@dataclass
class ControlFigures:
    """Figures of one checkout at one list size."""

    figures: FigureValues = field(default_factory=dict)
    steady: dict[str, FigureValues] = field(default_factory=dict)
    """Figures of each steady phase, by the name of the phase."""

    is_lower_bound: bool = False
    """Whether some single messages were not applied in time, so that their figures are too low."""

    def record(self, name: str, value: float) -> None:
        """Add a measured value to a figure."""
        self.figures.setdefault(name, []).append(value)

    def record_steady(self, phase: str, values: dict[str, float]) -> None:
        """Add the measured values of a steady phase."""
        figures = self.steady.setdefault(phase, {})
        for name, value in values.items():
            figures.setdefault(name, []).append(value)

    def record_completion(self, measurement: ControlMeasurement) -> None:
        """Set `is_lower_bound` if a burst of single messages was not applied in time."""
        if not measurement["is_complete"]:
            self.is_lower_bound = True

    def record_stalls(self, phase: str, measurement: ControlMeasurement) -> None:
        """Add the longest stall of a phase in processor time and in wall time.

        Other load on the machine does not lengthen the processor time of a stall.
        """
        self.record(f"{phase}_stall_cpu_ms", measurement["max_stall_cpu_ms"])
        self.record(f"{phase}_stall_wall_ms", measurement["max_stall_wall_ms"])

    def record_memory_growth(self, small_list: ControlFigures) -> None:
        """Add the memory growth over the small list: after startup or at the end, whichever is larger."""
        growth_by_figure = [
            [mb - small_mb for mb, small_mb in zip(self.figures[name], small_list.figures[name], strict=True)]
            for name in MEMORY_FIGURES
        ]
        self.figures["growth_mb"] = [max(growths) for growths in zip(*growth_by_figure, strict=True)]

    def as_dict(self) -> dict[str, Any]:
        """Return the summarized figures as the JSON result holds them."""
        return {
            **summarize_all(self.figures),
            "steady": {phase: summarize_all(figures) for phase, figures in self.steady.items()},
            "is_lower_bound": self.is_lower_bound,
        }


def summarize_all(figures: FigureValues) -> dict[str, RepeatSummary]:
    """Return the summary of each figure by its name."""
    return {name: summarize(values) for name, values in figures.items()}


@dataclass(frozen=True)
class MeasuredMedians:
    """Looks up the medians of one checkout's figures, some of which a run may not have measured."""

    measured: dict[str, Any]

    def median(self, size: int, name: str) -> float | None:
        """Return the median of a figure at a list size, or None if it was not measured."""
        figures = self.measured.get(str(size), {})
        return float(figures[name]["median"]) if name in figures else None

    def change_ratio(self) -> float | None:
        """Return the ratio of the processor times of one change with the target list and the medium list."""
        target_ms = self.median(TARGET_LIST_SIZE, "single_change_cpu_ms")
        medium_ms = self.median(MEDIUM_LIST_SIZE, "single_change_cpu_ms")
        if target_ms is None or medium_ms is None:
            return None
        return target_ms / max(medium_ms, MIN_RATIO_DIVISOR_MS)

    def is_lower_bound(self, size: int) -> bool:
        """Return whether the burst of single messages timed out at a list size."""
        return bool(self.measured.get(str(size), {}).get("is_lower_bound"))


def evaluate_goals(measured: dict[str, Any], burst_size: int) -> list[Goal]:
    """Return the goals of one checkout with the measured medians.

    A goal for a list size or burst size that the run did not measure has no measured value.
    """
    medians = MeasuredMedians(measured)
    return [*change_goals(medians), *burst_goals(medians, burst_size), *start_goals(medians)]


def change_goals(medians: MeasuredMedians) -> list[Goal]:
    """Return the goals for single changes."""
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
    """Return the goals for bursts, without measured values unless the burst has the target size."""
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
    """Return the goals for the snapshot at startup and for memory growth."""
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
