"""Processor time and memory of a piece of work."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

DEFAULT_RUNS = 5
"""Runs of which the least time counts, because other load on the machine only adds to it."""


def min_cpu_us(work: Callable[[], object], runs: int = DEFAULT_RUNS) -> float:
    """Return the least processor time of several runs, in microseconds."""
    times_ns = []
    for _ in range(runs):
        started_ns = time.process_time_ns()
        work()
        times_ns.append(time.process_time_ns() - started_ns)
    return min(times_ns) / 1000


def retained_bytes(create: Callable[[], object]) -> int:
    """Return the bytes that what `create` returns takes."""
    gc.collect()
    tracemalloc.start()
    created = create()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del created
    return size


def peak_memory_mb(work: Callable[[], object]) -> float:
    """Return the peak memory allocated by the work, in MB of a million bytes."""
    tracemalloc.start()
    work()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 1e6
