"""The actions that the policy returns, for its host to carry out. All times are milliseconds.

No action is changed once it has been created. The types are not frozen dataclasses, because those assign each
field through a call: their instances take longer to create, and the types take longer to define when the
process starts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .timers import TimerToken


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their starts.

    If no connection is established before `start_before`, a time on the host's clock, the request is not sent
    and the attempt ends with an outcome of `NOT_PROCESSED`.
    """

    request_id: str
    backend_id: int
    timeout_ms: float = 0.0
    start_before: float = math.inf


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt_number: int


@dataclass(slots=True)
class Reject:
    """Send a request's final response, which tells the client that sending the request again is safe."""

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Send the final response of a request that failed and may have run."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with the token after a delay.

    A timer without delay fires after the events that are already waiting have been handled.
    """

    delay_ms: float
    token: TimerToken


@dataclass(slots=True)
class IncrementCounter:
    """Add an amount to a named total of the counter service; the response carries the new total.

    An amount of 0 only reads the total.
    """

    name: str
    amount: float
    expires_in_ms: float


@dataclass(slots=True)
class WatchEndpoints:
    """Open a watch of the endpoint list."""

    enabled: bool = True


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | IncrementCounter | WatchEndpoints
Actions = list[Action]
