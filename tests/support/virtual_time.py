"""An event loop in virtual time: when nothing is ready, its clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

SOCKET_SETTLE_S = 0.002
"""Real time, in seconds, within which a local socket becomes readable after a write to its other end."""


class VirtualTimeSelector(selectors.DefaultSelector):
    """Polls real sockets; if none becomes ready, advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        may_wait = timeout is None or timeout > 0
        ready = super().select(SOCKET_SETTLE_S if may_wait else 0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on real sockets whose time is the virtual clock of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run_in_virtual_time(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario to its end in an event loop of its own, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(scenario())
