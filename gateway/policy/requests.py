"""Requests that await their final response, and their attempts; all times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .actions import Actions, SetTimer
from .backends import Backend
from .leases import Lease
from .settings import RequestClass
from .timers import TimerKind, TimerToken


class Attempt(NamedTuple):
    """An attempt to have a request processed by a backend."""

    request: PendingRequest
    backend: Backend
    started_at: float


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final response."""

    id: str
    request_class: RequestClass
    lease: Lease
    cost: float
    is_retry: bool
    """Whether the client has sent the request before."""
    finish_by: float
    """The time at which the request gets its final response at the latest."""
    latency_objective_at: float
    """The time at which the request's latency objective, or its deadline if that is earlier, expires."""
    check_at: float = math.inf
    """The time at which a timer next checks the request."""
    attempt_count: int = 0
    attempts_in_flight: set[int] = field(default_factory=set)
    """The numbers of the request's attempts that are in flight."""
    tried_backend_ids: set[int] = field(default_factory=set)
    possibly_run_attempts: list[Attempt] = field(default_factory=list)
    """The attempts that ran, may have run or are in flight, the earliest first."""
    reported_cost: float = 0.0
    """Units of the request's cost that the counter's total includes."""
    assumed_shortfall: float | None = None
    """Tokens that the request is assumed to lack if its shared bucket is not read; None if the tokens of its
    lease decide."""

    def begin_attempt(self, now: float, backend: Backend) -> Attempt:
        """Record an attempt that is being started; its number is the count of the attempts before it."""
        attempt = Attempt(self, backend, now)
        self.attempts_in_flight.add(self.attempt_count)
        self.possibly_run_attempts.append(attempt)
        self.tried_backend_ids.add(backend.id)
        self.attempt_count += 1
        return attempt

    def end_attempt(self, number: int, attempt: Attempt, *, may_have_run: bool) -> None:
        """Record the end of an attempt, and whether it may have run."""
        self.attempts_in_flight.remove(number)
        if not may_have_run:
            self.possibly_run_attempts.remove(attempt)

    def token_shortfall(self) -> float:
        """Return how many tokens the lease lacks for the request; 0 or less if it is within the quota."""
        if self.assumed_shortfall is not None:
            return self.assumed_shortfall
        return self.cost - self.lease.tokens if self.lease.plan.rate else 0.0

    def schedule_check(self, now: float, check_at: float, actions: Actions) -> None:
        """Set a timer to check the request again at `check_at`, but no later than `finish_by`."""
        self.check_at = min(check_at, self.finish_by)
        actions.append(SetTimer(max(0.0, self.check_at - now), TimerToken(TimerKind.REQUEST, self.id)))

    def replace_reported_cost(self, units: float) -> float:
        """Record how many units of the request the counter's total includes; return the previous number."""
        previous = self.reported_cost
        self.reported_cost = units
        return previous

    def assume_shortfall(self, tokens: float) -> None:
        """Assume that the request lacks this many tokens, instead of reading its shared bucket."""
        self.assumed_shortfall = tokens
