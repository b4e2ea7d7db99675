"""How long the event loop is held up between two of its turns."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple


class LoopGap(NamedTuple):
    """Between two turns of the loop: milliseconds by the clock, and of this thread's processor time."""

    wall: float = 0.0
    cpu: float = 0.0


class EventLoopProbe:
    """Runs in each turn of the event loop and keeps the longest gaps."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_running = False

    def begin(self) -> None:
        """Forget all gaps and measure from here on."""
        self.longest_by_wall = LoopGap()
        self.longest_by_cpu = LoopGap()
        self.update_gaps: list[LoopGap] = []  # those in which a part of the list was applied
        self._saw_update = False
        self.skip()
        if not self._is_running:
            self._is_running = True
            self._loop.call_soon(self._tick)

    def end(self) -> None:
        """Stop measuring."""
        self._is_running = False

    def note_update(self) -> None:
        """Mark the running gap as one in which a part of the list was applied."""
        self._saw_update = True

    def skip(self) -> None:
        """Leave out what has passed since the last turn: it is none of what is measured."""
        self._wall_s = time.perf_counter()
        self._cpu_s = time.thread_time()

    def _tick(self) -> None:
        wall_s = time.perf_counter()
        cpu_s = time.thread_time()
        gap = LoopGap((wall_s - self._wall_s) * 1000, (cpu_s - self._cpu_s) * 1000)
        if gap.wall > self.longest_by_wall.wall:
            self.longest_by_wall = gap
        if gap.cpu > self.longest_by_cpu.cpu:
            self.longest_by_cpu = gap
        if self._saw_update:
            self._saw_update = False
            self.update_gaps.append(gap)
        if self._is_running:
            self.skip()
            self._loop.call_soon(self._tick)
