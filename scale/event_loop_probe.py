"""A probe that measures how long each iteration of the event loop takes."""

from __future__ import annotations

import asyncio
import time


class EventLoopProbe:
    """Runs in each iteration of the event loop and records the longest stalls."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_running = False
        self._reset()

    def _reset(self) -> None:
        self.max_stall_wall_ms = 0.0
        self.max_stall_cpu_ms = 0.0
        # Processor time of each iteration that applied a part of the list or a change.
        self.update_stall_cpu_ms: list[float] = []
        self._has_update = False

    def begin(self) -> None:
        """Discard the recorded stalls and start measuring."""
        self._reset()
        self.restart_clocks()
        if not self._is_running:
            self._is_running = True
            self._loop.call_soon(self._on_iteration)

    def end(self) -> None:
        """Stop measuring."""
        self._is_running = False

    def record_update(self) -> None:
        """Mark the current iteration as one that applied a part of the list or a change."""
        self._has_update = True

    def restart_clocks(self) -> None:
        """Restart the clocks of the current iteration, to exclude time that is not the gateway's work."""
        self._iteration_wall_s = time.perf_counter()
        self._iteration_cpu_s = time.thread_time()

    def _on_iteration(self) -> None:
        wall_ms = (time.perf_counter() - self._iteration_wall_s) * 1000
        cpu_ms = (time.thread_time() - self._iteration_cpu_s) * 1000
        self.max_stall_wall_ms = max(self.max_stall_wall_ms, wall_ms)
        self.max_stall_cpu_ms = max(self.max_stall_cpu_ms, cpu_ms)
        if self._has_update:
            self._has_update = False
            self.update_stall_cpu_ms.append(cpu_ms)
        if self._is_running:
            self.restart_clocks()
            self._loop.call_soon(self._on_iteration)
