"""The actions that the policy asks its host to carry out. All times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .timers import TimerToken


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their starts.

    Where a connection has to be waited for, the attempt ends as one that never ran once `start_before`, a
    time on the policy's clock, has passed.
    """

    request_id: str
    backend_id: int
    timeout_ms: float = 0.0
    start_before: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt that is in flight."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """A final response which promises that trying again does no harm."""

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """A final response that promises nothing."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` with the token after a delay.

    A timer without delay fires once the other events that are waiting have been handled.
    """

    delay_ms: float
    token: TimerToken


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a named number on the counter service (0 reads it); the response carries the total."""

    name: str
    amount: float
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the endpoint list from now on."""

    enabled: bool = True


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | IncrementCounter | WatchEndpoints
Actions = list[Action]
