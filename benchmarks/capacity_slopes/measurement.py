"""Measurements of the processor time and memory that a function takes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

DEFAULT_RUNS = 5
"""Number of runs. Only the shortest counts, because other load on the machine can only add to the time."""


def min_cpu_us(work: Callable[[], object], runs: int = DEFAULT_RUNS) -> float:
    """Return the minimum processor time of several runs of `work`, in microseconds."""
    times_ns = []
    for _ in range(runs):
        started_ns = time.process_time_ns()
        work()
        times_ns.append(time.process_time_ns() - started_ns)
    return min(times_ns) / 1000


def retained_bytes(create: Callable[[], object]) -> int:
    """Return the bytes that `create` leaves allocated, including its result."""
    gc.collect()
    tracemalloc.start()
    created = create()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del created
    return size


def peak_memory_mb(work: Callable[[], object]) -> float:
    """Return the peak memory that `work` allocates, in MB of a million bytes."""
    tracemalloc.start()
    work()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 1e6
