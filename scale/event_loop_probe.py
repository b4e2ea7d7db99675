"""How long the event loop stalls between two of its iterations."""

from __future__ import annotations

import asyncio
import time


class EventLoopProbe:
    """Runs in each iteration of the event loop and keeps the longest stalls."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_running = False
        self._reset()

    def _reset(self) -> None:
        self.max_wall_ms = 0.0
        self.max_cpu_ms = 0.0
        self.update_cpu_ms: list[float] = []  # of the stalls in which a part of the list was applied
        self._saw_update = False

    def begin(self) -> None:
        """Forget all stalls and measure from here on."""
        self._reset()
        self.skip()
        if not self._is_running:
            self._is_running = True
            self._loop.call_soon(self._tick)

    def end(self) -> None:
        """Stop measuring."""
        self._is_running = False

    def note_update(self) -> None:
        """Mark the current iteration as one in which a part of the list was applied."""
        self._saw_update = True

    def skip(self) -> None:
        """Leave out what has passed since the last iteration, because it is not the gateway's work."""
        self._wall_s = time.perf_counter()
        self._cpu_s = time.thread_time()

    def _tick(self) -> None:
        wall_ms = (time.perf_counter() - self._wall_s) * 1000
        cpu_ms = (time.thread_time() - self._cpu_s) * 1000
        self.max_wall_ms = max(self.max_wall_ms, wall_ms)
        self.max_cpu_ms = max(self.max_cpu_ms, cpu_ms)
        if self._saw_update:
            self._saw_update = False
            self.update_cpu_ms.append(cpu_ms)
        if self._is_running:
            self.skip()
            self._loop.call_soon(self._tick)
