"""Histograms of times, and how late an event loop runs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

LONGEST_US = 600_000_000
DIGITS = 3
TICK_S = 0.005  # between two looks at the clock


class Times:
    """A histogram of times in milliseconds, to three digits and from a microsecond on."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LONGEST_US, DIGITS)
        self.count = 0
        self.longest = 0.0

    def add(self, ms: float) -> None:
        self.count += 1
        self.longest = max(self.longest, ms)
        self._histogram.record_value(min(LONGEST_US, max(1, round(ms * 1000))))

    def at(self, percent: float) -> float:
        """The time in milliseconds that so many in 100 do not exceed; 0 where there are none."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1000 if self.count else 0.0

    def summary(self) -> dict[str, float]:
        """`count`, and in milliseconds `p50_ms`, `p99_ms` and `max_ms`."""
        return {
            "count": self.count,
            "p50_ms": round(self.at(50), 3),
            "p99_ms": round(self.at(99), 3),
            "max_ms": round(self.longest, 3),
        }


class LagMeter:
    """How late the timers of the running event loop come, over all that is measured."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.times = Times()
        self.measuring = False
        self._wait()

    def _wait(self) -> None:
        self.due = time.monotonic() + TICK_S
        self.handle = self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        if self.measuring:
            self.times.add(max(0.0, time.monotonic() - self.due) * 1000)
        self._wait()

    def begin(self) -> None:
        """What is measured begins."""
        self.measuring = True
        self.handle.cancel()
        self._wait()

    def read(self) -> dict[str, float]:
        """What is measured ends; gives how late the timers came while any was, as `Times.summary`."""
        self.measuring = False
        return self.times.summary()

    def close(self) -> None:
        self.handle.cancel()


def spread(values: Sequence[float]) -> dict[str, float]:
    """`min`, `median` and `max` of measured values, in their own unit; all 0 where there are none."""
    ordered = sorted(values) or [0.0]
    middle = (ordered[(len(ordered) - 1) // 2] + ordered[len(ordered) // 2]) / 2
    return {"min": round(ordered[0], 4), "median": round(middle, 4), "max": round(ordered[-1], 4)}
