"""Runs callbacks in virtual time: the clock jumps from one callback to the next, and no real time passes."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualScheduler:
    """A clock in milliseconds, and the callbacks that are due at later times."""

    def __init__(self, now: float) -> None:
        self.now = now
        self._sequence_numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []

    def schedule(self, delay_ms: float, callback: Callable[[], object]) -> None:
        """Schedule a callback; callbacks that are due at the same time run in the order of scheduling."""
        heapq.heappush(self._queue, (self.now + delay_ms, next(self._sequence_numbers), callback))

    def advance(self, milliseconds: float) -> None:
        """Advance the clock, and run the callbacks that fall due, in the order of their times."""
        end = self.now + milliseconds
        while self._queue and self._queue[0][0] <= end:
            due_at, _, callback = heapq.heappop(self._queue)
            self.now = max(self.now, due_at)
            callback()
        self.now = end

    def stall(self, milliseconds: float) -> None:
        """Advance the clock as if the process were stalled: callbacks due in that time run late."""
        self.now += milliseconds
