"""Attempts, retries within a budget, and hedged requests."""

import math

from .actions import Actions, CancelAttempt, StartAttempt
from .backend_table import BackendTable
from .backends import Backend
from .events import NOT_PROCESSED, AttemptEnded
from .load_balancing import LoadBalancer
from .outlier_detection import OutlierDetector
from .requests import Attempt, PendingRequest
from .retry_safety import retry_window_end
from .settings import Idempotency, Settings

RETRIES_PER_REQUEST = 0.15
"""Retries that each request adds to the budget."""

SPARE_RETRIES_PER_REQUEST = 0.6
"""Retries that each request adds to the budget while there is spare capacity."""

MAX_RETRY_BUDGET = 10.0
"""Retries that the budget holds at most."""


class RetryController:
    """Starts and cancels attempts, and keeps the retry budget."""

    def __init__(
        self, settings: Settings, backends: BackendTable, balancer: LoadBalancer, outliers: OutlierDetector
    ) -> None:
        self.settings = settings
        self.backends = backends
        self.balancer = balancer
        self.outliers = outliers
        self.budget = MAX_RETRY_BUDGET
        self.attempts: dict[tuple[str, int], Attempt] = {}  # in flight, the oldest first

    def add_to_budget(self, *, has_spare_capacity: bool) -> None:
        """Add the retries that an arrived request earns to the budget."""
        earned = SPARE_RETRIES_PER_REQUEST if has_spare_capacity else RETRIES_PER_REQUEST
        self.budget = min(MAX_RETRY_BUDGET, self.budget + earned)

    def start_attempt(self, now: float, request: PendingRequest, backend: Backend, actions: Actions) -> None:
        """Start an attempt of a request at a backend, and schedule a check for when it is overdue."""
        self.backends.remember(backend)
        backend.begin_attempt()
        request.lease.begin_attempt()
        actions.append(StartAttempt(request.id, backend.id, start_before=retry_window_end(request)))
        number = request.attempt_count
        attempt = self.attempts[request.id, number] = request.begin_attempt(now, backend)
        request.schedule_check(now, now + self.outliers.attempt_timeout(now, attempt), actions)

    def end_attempt(self, now: float, event: AttemptEnded) -> Attempt | None:
        """Record the end of an attempt and return the attempt; None if it is not in flight."""
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return None
        request = attempt.request
        attempt.backend.end_attempt()
        request.lease.end_attempt()
        may_have_run = event.outcome not in NOT_PROCESSED
        request.end_attempt(event.attempt_number, attempt, may_have_run=may_have_run)
        self.outliers.record_outcome(now, attempt, event.outcome)
        return attempt

    def retry(self, now: float, request: PendingRequest, actions: Actions, budget_cost: float) -> bool:
        """Start another attempt if its response can be in time and the budget holds `budget_cost` retries.

        Return whether an attempt has been started.
        """
        backend = self._pick_for_retry(now, request, budget_cost)
        if backend is None:
            return False
        self.budget -= budget_cost
        self.start_attempt(now, request, backend, actions)
        return True

    def handle_overdue_attempt(self, now: float, request: PendingRequest, actions: Actions) -> None:
        """Hedge an attempt that takes far longer than usual, or cancel it, which leads to a retry."""
        request.schedule_check(now, math.inf, actions)
        if len(request.attempts_in_flight) != 1 or request.request_class.idempotency is Idempotency.UNSAFE:
            return
        if self.settings.hedging_allowed:
            self.retry(now, request, actions, budget_cost=1.0)
        elif self._pick_for_retry(now, request, budget_cost=1.0):
            self.cancel_attempts(request, actions)

    def cancel_attempts(self, request: PendingRequest, actions: Actions) -> None:
        """Cancel the attempts of a request that are in flight, if the deployment supports cancellation."""
        if self.settings.cancellation_supported:
            actions.extend([CancelAttempt(request.id, number) for number in request.attempts_in_flight])

    def _pick_for_retry(self, now: float, request: PendingRequest, budget_cost: float) -> Backend | None:
        is_in_time = now + self.outliers.stats.typical_latency_ms < request.latency_objective_at
        may_retry = is_in_time and request.attempt_count < self.settings.max_attempts
        return self.balancer.pick(now, request) if may_retry and self.budget >= budget_cost else None
