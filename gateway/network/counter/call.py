"""One call to the counter service."""

from __future__ import annotations

from collections.abc import Callable

from gateway.network.timers import Timer
from gateway.policy.events import Outcome

from .protocol import CounterResult

ResponseCallback = Callable[[str, Outcome, float], None]
"""Called once for each call with the counter's name, the outcome and the total (0 unless it succeeded)."""


class CounterCall:
    """One call; the first result it is given is its result."""

    __slots__ = ("_on_completed", "name", "on_response", "request_line", "result", "timer")

    def __init__(
        self,
        name: str,
        request_line: bytes,
        on_response: ResponseCallback,
        on_completed: Callable[[str], None],
    ) -> None:
        """`on_completed` is called with the name once the result is known, `on_response` is left to it."""
        self.name = name
        self.request_line = request_line
        self.on_response = on_response
        self.result: CounterResult | None = None
        self.timer: Timer | None = None
        self._on_completed = on_completed

    def complete(self, result: CounterResult) -> None:
        """Set the result and cancel the time-out; does nothing if the call has a result already."""
        if self.result is not None:
            return
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self._on_completed(self.name)
