"""The clock of a gateway and the queue of its timers.

Times are Unix milliseconds, because all gateways must agree on the start times of backends and on the
counter's periods. The wall clock is read once, at the start of the process, and advanced by the monotonic
clock: a step of the wall clock neither stops timers nor expires leases.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable

_UNIX_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000
"""Unix time minus monotonic time at the start of the process, in milliseconds."""


def now_ms() -> float:
    """Return the time in Unix milliseconds; it never decreases."""
    return time.monotonic() * 1000 + _UNIX_OFFSET_MS


MIN_CANCELLED_TIMERS = 64
"""Number of cancelled timers up to which the queue is not searched for them."""


class Timer:
    """A scheduled callback, created by `TimerQueue.call_at`."""

    __slots__ = ("_on_cancelled", "callback")

    def __init__(self, callback: Callable[[], None], on_cancelled: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback
        """None once the timer has fired or is cancelled."""
        self._on_cancelled = on_cancelled

    def cancel(self) -> None:
        """Cancel the callback; do nothing if it has already been called."""
        if self.callback is not None:
            self.callback = None
            self._on_cancelled()


class TimerQueue:
    """Runs callbacks at times of the `now_ms` clock, never early; all share one timer of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        # Entries are (due time, serial number, timer). They are plain tuples because each request sets
        # several timers and heapq compares tuples in C. The serial number orders timers with the same due
        # time by creation.
        self._heap: list[tuple[float, int, Timer]] = []
        self._cancelled_count = 0  # cancelled timers in the heap
        self._count_cancellation = self._on_timer_cancelled  # one bound method for all timers
        self._serial_numbers = itertools.count()
        self._longest_delay_ms = 0.0
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_due_ms = math.inf
        # When the loop timer should run; later than its due time if that had passed when it was set.
        self._expected_run_ms = 0.0

    def call_at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` to be called once, as soon as `now_ms` has reached `due_ms`."""
        timer = Timer(callback, self._count_cancellation)
        heapq.heappush(self._heap, (due_ms, next(self._serial_numbers), timer))
        if due_ms < self._loop_timer_due_ms:
            self._set_loop_timer(due_ms)
        return timer

    def take_longest_delay_ms(self) -> float:
        """Return the longest time, in milliseconds, by which the event loop was late since the last call.

        It shows how long the loop was busy or the process was not running.
        """
        longest_delay_ms = self._longest_delay_ms
        self._longest_delay_ms = 0.0
        return longest_delay_ms

    def _on_timer_cancelled(self) -> None:
        """Drop all cancelled timers once they are the majority.

        Almost every timer is cancelled. If each stayed in the queue until it was due, the memory of the queue
        would grow with the rate of requests and the longest deadline.
        """
        self._cancelled_count += 1
        if self._cancelled_count > MIN_CANCELLED_TIMERS and 2 * self._cancelled_count > len(self._heap):
            # In place, because `_call_due` may be using the list.
            self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _set_loop_timer(self, due_ms: float) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_due_ms = due_ms
        now = now_ms()
        self._expected_run_ms = max(now, due_ms)
        self._loop_timer = self._loop.call_later((self._expected_run_ms - now) / 1000, self._run)

    def _run(self) -> None:
        self._loop_timer = None
        # Timers that callbacks add must not set the loop timer, which is set once all callbacks have run.
        self._loop_timer_due_ms = -math.inf
        try:
            self._call_due()
        finally:
            self._loop_timer_due_ms = math.inf
            if self._heap:
                self._set_loop_timer(self._heap[0][0])

    def _call_due(self) -> None:
        """Run the callbacks of all timers that are due, and drop cancelled timers at the head of the queue.

        No timer may fire before its due time: the policy would ignore it, and its request would never end.
        The event loop rounds to whole milliseconds and may run early, so each due time is checked here.
        """
        heap = self._heap
        now = now_ms()
        self._longest_delay_ms = max(self._longest_delay_ms, now - self._expected_run_ms)
        # Timers that callbacks add wait for the next iteration of the event loop.
        first_new_serial = next(self._serial_numbers)
        while heap:
            due_ms, serial, timer = heap[0]
            if timer.callback is not None and (due_ms > now or serial >= first_new_serial):
                break
            heapq.heappop(heap)
            callback = timer.callback
            if callback is None:
                self._cancelled_count -= 1
                continue
            timer.callback = None
            callback()
            now = now_ms()
