"""Latency histograms, the timer lag of an event loop, and summaries of repeated measurements."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from .figures import LatencySummary, RepeatSummary

MAX_LATENCY_US = 600_000_000
"""Highest latency that the histogram can hold, in microseconds: ten minutes."""

SIGNIFICANT_DIGITS = 3
"""Significant decimal digits that the histogram keeps of a latency."""

LAG_TIMER_INTERVAL_S = 0.005
"""Delay of each timer of a timer lag meter, in seconds."""

SUMMARY_DECIMALS = 4
"""Decimal places of the values in a summary of repeats."""


class LatencyHistogram:
    """A histogram of latencies in milliseconds, from one microsecond up, with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._count = 0
        self._max_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Add a latency in milliseconds."""
        self._count += 1
        self._max_ms = max(self._max_ms, latency_ms)
        self._histogram.record_value(min(MAX_LATENCY_US, max(1, round(latency_ms * 1000))))

    def percentile(self, percent: float) -> float:
        """Return a percentile in milliseconds, or 0 if no latency was recorded."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1000 if self._count else 0.0

    def summary(self) -> LatencySummary:
        """Return the number of latencies, and their percentiles and maximum rounded to a microsecond."""
        return {
            "count": self._count,
            "p50_ms": round(self.percentile(50), 3),
            "p99_ms": round(self.percentile(99), 3),
            "max_ms": round(self._max_ms, 3),
        }


class TimerLagMeter:
    """Measures how late the timers of the running event loop fire, over all measured phases."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._lags = LatencyHistogram()
        self._is_measuring = False
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = time.monotonic() + LAG_TIMER_INTERVAL_S
        self._handle = self._loop.call_later(LAG_TIMER_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        if self._is_measuring:
            self._lags.record(max(0.0, time.monotonic() - self._due_at) * 1000)
        self._schedule()

    def begin(self) -> None:
        """Start a measured phase."""
        self._is_measuring = True
        self._handle.cancel()
        self._schedule()

    def read(self) -> LatencySummary:
        """End the measured phase; return the summary of the lags in all measured phases."""
        self._is_measuring = False
        return self._lags.summary()

    def close(self) -> None:
        """Cancel the pending timer."""
        self._handle.cancel()


def summarize(values: Sequence[float]) -> RepeatSummary:
    """Return the minimum, median and maximum of measured values, or zeros if there are none."""
    values = values or [0.0]
    return {
        "min": round(min(values), SUMMARY_DECIMALS),
        "median": round(statistics.median(values), SUMMARY_DECIMALS),
        "max": round(max(values), SUMMARY_DECIMALS),
    }


def nearest_rank(ordered: Sequence[float], percent: int) -> float:
    """Return a percentile of a sorted sequence, which must not be empty, by the nearest-rank method."""
    return ordered[max(0, -(-len(ordered) * percent // 100) - 1)]
