"""One call to the counter service."""

from __future__ import annotations

from collections.abc import Callable

from gateway.network.timers import Timer
from gateway.policy.events import Outcome

from .protocol import CounterResult

ResponseCallback = Callable[[str, Outcome, float], None]
"""Called once per call with the total's name, the outcome and the total (0 unless the call succeeded)."""


class CounterCall:
    """A call to the counter, and its result once it has one; later results are ignored."""

    __slots__ = ("_on_completed", "_timeout_timer", "name", "on_response", "request_line", "result")

    def __init__(
        self,
        name: str,
        request_line: bytes,
        on_response: ResponseCallback,
        on_completed: Callable[[str], None],
    ) -> None:
        """Create a call.

        `on_completed` is called with `name` once the call has a result; it has to call `on_response`.
        """
        self.name = name
        self.request_line = request_line
        self.on_response = on_response
        self.result: CounterResult | None = None
        self._timeout_timer: Timer | None = None
        self._on_completed = on_completed

    def set_timeout_timer(self, timer: Timer) -> None:
        """Store the timer that completion cancels; cancel it at once if the call has already completed."""
        if self.result is not None:
            timer.cancel()
            return
        self._timeout_timer = timer

    def complete(self, result: CounterResult) -> None:
        """Set the result and cancel the timeout timer; do nothing if the call has already completed."""
        if self.result is not None:
            return
        self.result = result
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self._on_completed(self.name)
