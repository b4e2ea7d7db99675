"""Histograms of latencies, how late an event loop runs, and summaries of repeated measurements."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

MAX_US = 600_000_000
"""Longest latency that is told from longer ones: ten minutes, in microseconds."""

SIGNIFICANT_DIGITS = 3

TICK_S = 0.005
"""Between two timers of a lag meter."""


class LatencyHistogram:
    """A histogram of latencies in milliseconds, to three digits and from a microsecond on."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
        self._count = 0
        self._max_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Add one latency."""
        self._count += 1
        self._max_ms = max(self._max_ms, latency_ms)
        self._histogram.record_value(min(MAX_US, max(1, round(latency_ms * 1000))))

    def percentile(self, percent: float) -> float:
        """Return the latency that so many in 100 do not exceed; 0 where there are none."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1000 if self._count else 0.0

    def summary(self) -> dict[str, float]:
        """Return `count`, and in milliseconds `p50_ms`, `p99_ms` and `max_ms`."""
        return {
            "count": self._count,
            "p50_ms": round(self.percentile(50), 3),
            "p99_ms": round(self.percentile(99), 3),
            "max_ms": round(self._max_ms, 3),
        }


class LagMeter:
    """How late the timers of the running event loop come, over all that is measured."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._lags = LatencyHistogram()
        self._is_measuring = False
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = time.monotonic() + TICK_S
        self._handle = self._loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        if self._is_measuring:
            self._lags.record(max(0.0, time.monotonic() - self._due_at) * 1000)
        self._schedule()

    def begin(self) -> None:
        """Measure from here on."""
        self._is_measuring = True
        self._handle.cancel()
        self._schedule()

    def read(self) -> dict[str, float]:
        """Stop measuring; return the lags of all that was measured, as `LatencyHistogram.summary`."""
        self._is_measuring = False
        return self._lags.summary()

    def close(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return `min`, `median` and `max` of measured values, in their own unit; all 0 where there are none."""
    ordered = sorted(values) or [0.0]
    median = (ordered[(len(ordered) - 1) // 2] + ordered[len(ordered) // 2]) / 2
    return {"min": round(ordered[0], 4), "median": round(median, 4), "max": round(ordered[-1], 4)}


def nearest_rank(ordered: Sequence[float], percent: int) -> float:
    """Return the value of a sorted sequence that so many in 100 do not exceed."""
    return ordered[max(0, -(-len(ordered) * percent // 100) - 1)]
