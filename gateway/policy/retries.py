"""Attempts in flight, retries within a budget, and hedged requests."""

import math
from dataclasses import dataclass, field

from .actions import Actions, CancelAttempt, StartAttempt
from .backend_table import BackendTable
from .backends import Backend
from .events import NOT_PROCESSED, AttemptEnded
from .load_balancing import LoadBalancer
from .outlier_detection import OutlierDetector
from .requests import Attempt, PendingRequest
from .settings import Idempotency, Settings

RETRIES_PER_REQUEST = 0.15  # that a request adds to the budget ...
CALM_RETRIES_PER_REQUEST = 0.6  # ... and while capacity is clearly spare
MAX_RETRY_BUDGET = 10.0  # retries that the budget holds at most


@dataclass(slots=True, eq=False)
class RetryController:
    """Starts and cancels attempts, and keeps the retry budget."""

    settings: Settings
    backends: BackendTable
    balancer: LoadBalancer
    outliers: OutlierDetector
    budget: float = MAX_RETRY_BUDGET
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # in flight, the oldest first

    def earn(self, *, is_calm: bool) -> None:
        """Add to the budget for a request that has arrived."""
        earned = CALM_RETRIES_PER_REQUEST if is_calm else RETRIES_PER_REQUEST
        self.budget = min(MAX_RETRY_BUDGET, self.budget + earned)

    def start(self, now: float, request: PendingRequest, backend: Backend, out: Actions) -> None:
        """Start an attempt of a request at a backend."""
        self.backends.remember(backend)
        backend.in_flight += 1
        request.lease.begin_attempt()
        number = request.attempt_count
        out.append(StartAttempt(request.id, backend.id, start_before=request.retry_window_end()))
        attempt = self.attempts[request.id, number] = Attempt(request, backend, now)
        request.live_attempts.add(number)
        request.possibly_run.append(attempt)
        request.tried_backend_ids.add(backend.id)
        request.attempt_count = number + 1
        request.schedule_check(now, now + self.outliers.attempt_timeout(now, attempt), out)

    def end(self, now: float, event: AttemptEnded) -> Attempt | None:
        """Record the end of an attempt; None if it is not known."""
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        request = attempt.request
        attempt.backend.in_flight -= 1
        request.lease.end_attempt()
        request.live_attempts.remove(event.attempt_number)
        if event.outcome in NOT_PROCESSED:
            request.possibly_run.remove(attempt)
        self.outliers.record_outcome(now, attempt, event.outcome)
        return attempt

    def retry(self, now: float, request: PendingRequest, out: Actions, price: float) -> bool:
        """Start another attempt if one can be in time and the budget holds its price."""
        backend = self._pick_for_retry(now, request, price)
        if backend is None:
            return False
        self.budget -= price
        self.start(now, request, backend, out)
        return True

    def check_overdue(self, now: float, request: PendingRequest, out: Actions) -> None:
        """Hedge an attempt that is in flight far longer than usual, or cancel it: its end brings the next."""
        request.schedule_check(now, math.inf, out)
        if len(request.live_attempts) != 1 or request.request_class.idempotency is Idempotency.UNSAFE:
            return
        if self.settings.hedging_allowed:
            self.retry(now, request, out, price=1.0)
        elif self._pick_for_retry(now, request, price=1.0):
            self.cancel_all(request, out)

    def cancel_all(self, request: PendingRequest, out: Actions) -> None:
        """Cancel the attempts of a request that are in flight."""
        if self.settings.cancellation_supported:
            out.extend([CancelAttempt(request.id, number) for number in request.live_attempts])

    def _pick_for_retry(self, now: float, request: PendingRequest, price: float) -> Backend | None:
        is_in_time = now + self.outliers.stats.typical_ms < request.objective_at
        may_retry = is_in_time and request.attempt_count < self.settings.max_attempts
        return self.balancer.pick(now, request) if may_retry and self.budget >= price else None
