"""An event loop in virtual time: where nothing is left to do, its clock goes on to the next timer at once."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

SETTLE_S = 0.002  # real time that sockets of this machine get to show what was written to them


class _Selector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(SETTLE_S if timeout is None or timeout > 0 else 0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Real sockets, but time passes only in waits, and then without waiting."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def in_virtual_time(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario())
