"""The requests that await a final response, their attempts, and the rules on running a request twice."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .actions import Actions, SetTimer
from .backends import Backend
from .leases import Lease
from .settings import DeduplicationScope, Idempotency, RequestClass
from .timers import TimerKind, TimerToken

FINISH_MARGIN_MS = 50.0  # a request is finished this long before its deadline; small beside any objective


class Attempt(NamedTuple):
    """One attempt of a request at a backend; all times are milliseconds on the policy's clock."""

    request: PendingRequest
    backend: Backend
    started_at: float


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final response; `RetryController` keeps its attempts."""

    id: str
    request_class: RequestClass
    lease: Lease
    cost: float
    is_retry: bool
    finish_by: float
    objective_at: float
    check_at: float = math.inf
    attempt_count: int = 0
    live_attempts: set[int] = field(default_factory=set)  # the numbers of those in flight
    tried_backend_ids: set[int] = field(default_factory=set)
    possibly_run: list[Attempt] = field(default_factory=list)  # or in flight, the earliest first
    reported_cost: float = 0.0  # units of it that the counter holds
    assumed_shortfall: float | None = None  # tokens that it lacks, if its shared bucket is not read

    def schedule_check(self, now: float, at: float, out: Actions) -> None:
        """Look at the request again at a time, and at the latest when it has to be finished."""
        self.check_at = min(at, self.finish_by)
        out.append(SetTimer(max(0.0, self.check_at - now), TimerToken(TimerKind.REQUEST, self.id)))

    def replace_reported_cost(self, units: float) -> float:
        """Note the units of the request that the counter holds; returns those that it held before."""
        previous = self.reported_cost
        self.reported_cost = units
        return previous

    def assume_shortfall(self, tokens: float) -> None:
        """Decide the request without reading its shared bucket, as if it lacked so many tokens."""
        self.assumed_shortfall = tokens

    @property
    def is_safe_to_resend(self) -> bool:
        """Whether the client may send the request again without any risk of a second effect."""
        idempotency = self.request_class.idempotency
        is_known_to_all = self.request_class.deduplication_scope is DeduplicationScope.ALL
        is_dropped_by_all = idempotency is Idempotency.WITH_KEY and is_known_to_all
        return not self.possibly_run or idempotency is Idempotency.IDEMPOTENT or is_dropped_by_all

    def retry_window_end(self) -> float:
        """When a retry must have begun, so that backends still drop it if the first attempt has run."""
        if self.request_class.idempotency is not Idempotency.WITH_KEY or not self.possibly_run:
            return math.inf
        first = self.possibly_run[0]
        return first.started_at + self.request_class.deduplication_window_ms - FINISH_MARGIN_MS

    def may_run_on(self, now: float, backend: Backend) -> bool:
        """Whether the next attempt may go to a backend, given what may have run already.

        Danger: an effect happening twice. An unsafe request is never sent again once it may have run; one
        with an idempotency key only inside the deduplication scope, and a little before its window ends.
        """
        if backend.id in self.tried_backend_ids:
            return False
        idempotency = self.request_class.idempotency
        if not self.possibly_run or idempotency is Idempotency.IDEMPOTENT:
            return True
        if idempotency is Idempotency.UNSAFE or now >= self.retry_window_end():
            return False
        scope = self.request_class.deduplication_scope
        first = self.possibly_run[0].backend
        is_same_zone = first.zone == backend.zone
        is_in_scope = is_same_zone and (scope is DeduplicationScope.ZONE or first.cell == backend.cell)
        return scope is DeduplicationScope.ALL or is_in_scope
