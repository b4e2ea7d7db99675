"""The choice of a backend: by cost with chance, and slow start for those that are warming up."""

import random
from dataclasses import dataclass

from .backend_table import BackendTable
from .backends import Backend
from .outlier_detection import FAILURE_COST, OutlierDetector
from .requests import PendingRequest
from .settings import DeduplicationScope, Idempotency, SafetyRules

CHANCE_EXPONENT = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
MAX_SCORED = 64  # the largest subset that each choice weighs whole ...
SAMPLE_SIZE = 32  # ... and the backends that are drawn of a larger one
MAX_WARMING_FAILURES = 0.5  # failure probability from which a backend that is warming up is not chosen


@dataclass(slots=True, eq=False)
class LoadBalancer:
    """Chooses backends for attempts."""

    rules: SafetyRules
    rng: random.Random
    backends: BackendTable
    outliers: OutlierDetector

    def pick(self, now: float, request: PendingRequest) -> Backend | None:
        """Choose a backend by chance, cheap ones far more often; one that is warming up by its own chance."""
        candidates = self.backends.endpoints.backends
        if len(candidates) > MAX_SCORED:
            candidates = self.rng.sample(candidates, SAMPLE_SIZE)
        allowed = [b for b in candidates if request.may_run_on(now, b)]
        allowed = allowed or self.fallback_candidates(now, request)
        warm = [b for b in allowed if self.slow_start_fraction(now, b) >= 1]
        if len(warm) < len(allowed) and not (request.possibly_run and warm):
            backend = self._draw_warming(now, request, allowed)
            if backend is not None:
                return backend
        expovariate = self.rng.expovariate
        costs = [self.cost(now, b, request) * expovariate(1.0) ** CHANCE_EXPONENT for b in warm]
        return warm[costs.index(min(costs))] if warm else None

    def _draw_warming(self, now: float, request: PendingRequest, allowed: list[Backend]) -> Backend | None:
        """A backend that is warming up, if chance selects it.

        Danger: sent more than it can do by all gateways together, a warming backend falls over. Each gateway
        gives it an even part of its own requests times less than the least it can do, so that the sum over
        all gateways stays under that part of a warm one's load; twice, as one long request is much of it.
        Retries come of many gateways at once, where many backends are slow: those go to warm ones.
        """
        backend = self.rng.choice(allowed)
        fraction = self.slow_start_fraction(now, backend)
        part = fraction * min(1.0, fraction * self.rules.overload_multiple / 2)
        if fraction >= 1 or self.rng.random() >= part:
            return None
        failing = self.outliers.failure_probability(now, backend, request)
        return backend if failing < MAX_WARMING_FAILURES else None

    def slow_start_fraction(self, now: float, backend: Backend) -> float:
        """The least part of its full capacity that a backend surely has, from 0 to 1."""
        if backend.started_at <= 0:
            return 1.0
        rules = self.rules
        age = (now - backend.started_at) / max(1.0, rules.slow_start_ms)
        return min(1.0, rules.initial_capacity + (1 - rules.initial_capacity) * age)

    def cost(self, now: float, backend: Backend, request: PendingRequest) -> float:
        """What a response should take here, judged by responses, failures and silence alike."""
        latency_ms = self.outliers.expected_latency(now, backend)
        failing = self.outliers.failure_probability(now, backend, request)
        return latency_ms * (1 + FAILURE_COST * failing) * (backend.in_flight + 1)

    def fallback_candidates(self, now: float, request: PendingRequest) -> list[Backend]:
        """Backends outside the subset, for a request that none of the subset may serve."""
        request_class = request.request_class
        cell = None
        if request.possibly_run and request_class.idempotency is Idempotency.UNSAFE:
            return []
        has_key = request_class.idempotency is Idempotency.WITH_KEY
        if request.possibly_run and has_key and request_class.deduplication_scope is DeduplicationScope.CELL:
            first = request.possibly_run[0].backend
            cell = (first.zone, first.cell)
        return [b for b in self.backends.sample_outside(self.rng, cell) if request.may_run_on(now, b)]
