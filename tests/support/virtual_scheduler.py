"""Callbacks in virtual time: nothing waits, and the clock moves from one callback to the next."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualScheduler:
    """A clock in milliseconds, and what is due at later times."""

    def __init__(self, now: float) -> None:
        self.now = now
        self._sequence_numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []

    def schedule(self, delay_ms: float, callback: Callable[[], object]) -> None:
        """Call back after a delay; callbacks due at the same time run in the order of scheduling."""
        heapq.heappush(self._queue, (self.now + delay_ms, next(self._sequence_numbers), callback))

    def advance(self, milliseconds: float) -> None:
        """Let time pass, and run what falls due, in the order of due times."""
        end = self.now + milliseconds
        while self._queue and self._queue[0][0] <= end:
            due_at, _, callback = heapq.heappop(self._queue)
            self.now = max(self.now, due_at)
            callback()
        self.now = end

    def stall(self, milliseconds: float) -> None:
        """Move the clock on while the process is stalled: what falls due meanwhile runs late."""
        self.now += milliseconds
