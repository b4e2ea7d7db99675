"""One attempt of a request at a backend."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from gateway.network.timers import Timer
from gateway.policy.events import Outcome


class AttemptConnection(Protocol):
    """The connection that an attempt is on, as far as abandoning the attempt needs it."""

    def close_and_end_attempt(self, outcome: Outcome) -> None:
        """Close the connection, then end the attempt on it with `outcome`."""

    def outcome_if_broken(self) -> Outcome:
        """Return the outcome of the attempt if the connection broke now."""


@dataclass(eq=False, slots=True, kw_only=True)
class BackendAttempt:
    """One attempt of a request at a backend; `on_end` is called exactly once.

    Times are milliseconds of `now_ms`.
    """

    backend_id: int
    encode_request: Callable[[int], bytes]
    """Returns the request as it is sent, given the milliseconds until its deadline."""
    deadline: float
    """When the client stops waiting."""
    on_end: Callable[[BackendAttempt, Outcome, bytes], None]
    """Takes the attempt, its outcome and the value of the reply (empty without one)."""
    start_before: float = math.inf
    """When the first byte may be written at the latest."""
    detect_client_disconnect: Callable[[], None] | None = None
    """Abandons the attempt if its client has disconnected."""
    connection: AttemptConnection | None = field(default=None, init=False)
    """The connection that it is on; None before the attempt has one, and once it has ended."""
    is_ended: bool = field(default=False, init=False)
    _timeout_timer: Timer | None = field(default=None, init=False)

    def set_timeout_timer(self, timer: Timer) -> None:
        """Take over the timer of the attempt's time-out, which is cancelled at the attempt's end."""
        if self.is_ended:
            timer.cancel()
            return
        self._timeout_timer = timer

    def attach_connection(self, connection: AttemptConnection) -> None:
        """Use this connection, which ends the attempt with its own end."""
        self.connection = connection

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """End the attempt; further calls change nothing."""
        if self.is_ended:
            return
        self.is_ended = True
        self.connection = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self.on_end(self, outcome, value)
