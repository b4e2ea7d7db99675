"""One attempt of a request at a backend."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gateway.network.timers import Timer
from gateway.policy.events import Outcome


class AttemptConnection(Protocol):
    """The connection that an attempt is on, as far as giving up the attempt needs it."""

    def end(self, outcome: Outcome) -> None:
        """Close the connection, then end the attempt on it with `outcome`."""

    def break_outcome(self) -> Outcome:
        """Return the outcome of the attempt if the connection broke now."""


@dataclass(eq=False, slots=True, kw_only=True)
class BackendAttempt:
    """One attempt of a request at a backend; `on_end` is called exactly once.

    Times are milliseconds of `now_ms`.
    """

    backend_id: int
    encode: Callable[[int], bytes]
    """Returns the request as it is sent, given the milliseconds that its client still waits."""
    deadline: float
    """When the client gives up."""
    on_end: Callable[[BackendAttempt, Outcome, bytes], None]
    """Takes the attempt, its outcome and the value of the reply (empty without one)."""
    start_before: float = math.inf
    """When the first byte may be written at the latest."""
    detect_disconnect: Callable[[], None] | None = None
    """Abandons the attempt if its client has disconnected."""
    connection: AttemptConnection | None = None
    timeout_timer: Timer | None = None
    is_ended: bool = False

    def set_timeout(self, timer: Timer) -> None:
        """Add the timer that abandons the attempt; its end cancels it."""
        self.timeout_timer = timer

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """End the attempt; further calls change nothing."""
        if self.is_ended:
            return
        self.is_ended = True
        self.connection = None
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.on_end(self, outcome, value)
