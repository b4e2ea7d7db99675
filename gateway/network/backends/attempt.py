"""Attempts to have a backend serve a request."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from gateway.network.timers import Timer
from gateway.policy.events import Outcome


class AttemptConnection(Protocol):
    """The part of a connection's interface that is used to abandon the attempt on it."""

    def close_and_end_attempt(self, outcome: Outcome) -> None:
        """Close the connection, then end the attempt on it with `outcome`."""

    def outcome_if_broken(self) -> Outcome:
        """Return the outcome that the attempt would have if the connection broke now."""


@dataclass(eq=False, slots=True, kw_only=True)
class BackendAttempt:
    """An attempt to have one backend serve a request; `on_end` is called exactly once.

    Times are in milliseconds, as returned by `now_ms`.
    """

    backend_id: int
    encode_request: Callable[[int], bytes]
    """Returns the bytes of the request, given the milliseconds until its deadline."""
    deadline: float
    """When the client stops waiting for the reply."""
    on_end: Callable[[BackendAttempt, Outcome, bytes], None]
    """Called with the attempt, its outcome and the value of the reply, which is empty if there is none."""
    start_before: float = math.inf
    """The request is sent only if its first byte can be written before this time."""
    detect_client_disconnect: Callable[[], None] | None = None
    """Abandons the attempt if its client has disconnected."""
    connection: AttemptConnection | None = field(default=None, init=False)
    """The connection that carries the attempt; None before the attempt has one, and after it has ended."""
    is_ended: bool = field(default=False, init=False)
    _timeout_timer: Timer | None = field(default=None, init=False)

    def set_timeout_timer(self, timer: Timer) -> None:
        """Set the timer of the attempt's timeout, which is cancelled once the attempt has ended."""
        if self.is_ended:
            timer.cancel()
            return
        self._timeout_timer = timer

    def attach_connection(self, connection: AttemptConnection) -> None:
        """Record the connection that carries the attempt; if the connection breaks, it ends the attempt."""
        self.connection = connection

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """End the attempt and report its outcome; further calls do nothing."""
        if self.is_ended:
            return
        self.is_ended = True
        self.connection = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self.on_end(self, outcome, value)
