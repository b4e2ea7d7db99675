"""The choice of a backend: random, weighted by cost, with slow start for backends that are warming up."""

import random

from .backend_table import BackendTable
from .backends import Backend
from .outlier_detection import FAILURE_COST, OutlierDetector
from .requests import PendingRequest
from .retry_safety import may_run_on, must_not_run_again, required_cell
from .settings import SafetyRules

RANDOM_FACTOR_EXPONENT = 0.25
"""Exponent of the random factor of a cost: at half the cost, a backend is chosen sixteen times as often."""

SAMPLING_THRESHOLD = 64
"""Size of the largest subset in which each choice computes the costs of all backends."""

SAMPLE_SIZE = 32
"""Number of backends drawn at random from a larger subset; a choice computes the costs of these only."""

MAX_WARMING_FAILURE_PROBABILITY = 0.5
"""Failure probability at and above which a backend that is warming up is not chosen."""


class LoadBalancer:
    """Chooses the backend of each attempt."""

    def __init__(
        self, rules: SafetyRules, rng: random.Random, backends: BackendTable, outliers: OutlierDetector
    ) -> None:
        self.rules = rules
        self.rng = rng
        self.backends = backends
        self.outliers = outliers

    def pick(self, now: float, request: PendingRequest) -> Backend | None:
        """Draw a backend for the next attempt of a request; return None if none is drawn.

        Backends of low cost are drawn far more often. Backends that are warming up are drawn separately.
        """
        candidates = self.backends.endpoint_subset.backends
        if len(candidates) > SAMPLING_THRESHOLD:
            candidates = self.rng.sample(candidates, SAMPLE_SIZE)
        allowed = [b for b in candidates if may_run_on(now, request, b)]
        allowed = allowed or self.fallback_candidates(now, request)
        warm = [b for b in allowed if self.slow_start_fraction(now, b) >= 1]
        # When many backends are slow, many gateways retry at once. So a request that may have run goes to a
        # warm backend if there is one.
        if len(warm) < len(allowed) and not (request.possibly_run_attempts and warm):
            backend = self._draw_warming(now, request, allowed)
            if backend is not None:
                return backend
        expovariate = self.rng.expovariate
        costs = [self.cost(now, b, request) * expovariate(1.0) ** RANDOM_FACTOR_EXPONENT for b in warm]
        return warm[costs.index(min(costs))] if warm else None

    def _draw_warming(self, now: float, request: PendingRequest, allowed: list[Backend]) -> Backend | None:
        """Choose a backend at random; if it is warming up, return it with a limited probability, else None.

        Slow start must bound the load from the whole fleet: a warming backend fails above `overload_multiple`
        times its present capacity, whichever gateways send the load. So each gateway sends it an even share
        of the gateway's requests, multiplied by the fraction of the backend's capacity that is sure to be
        available. While that fraction is small, the share is reduced further, because one long request then
        takes up much of the capacity. The sum over all gateways thus stays under that fraction of a warm
        backend's load.
        """
        backend = self.rng.choice(allowed)
        capacity_fraction = self.slow_start_fraction(now, backend)
        probability = capacity_fraction * min(1.0, capacity_fraction * self.rules.overload_multiple / 2)
        if capacity_fraction >= 1 or self.rng.random() >= probability:
            return None
        failure_probability = self.outliers.failure_probability(now, backend, request)
        return backend if failure_probability < MAX_WARMING_FAILURE_PROBABILITY else None

    def slow_start_fraction(self, now: float, backend: Backend) -> float:
        """Return the fraction of its full capacity that a backend is sure to have, from 0 to 1."""
        if backend.started_at <= 0:
            return 1.0
        rules = self.rules
        elapsed_fraction = (now - backend.started_at) / max(1.0, rules.slow_start_ms)
        return min(1.0, rules.initial_capacity + (1 - rules.initial_capacity) * elapsed_fraction)

    def cost(self, now: float, backend: Backend, request: PendingRequest) -> float:
        """Return the expected latency in milliseconds, raised by the backend's queue and its failure risk."""
        latency_ms = self.outliers.expected_latency(now, backend)
        failure_probability = self.outliers.failure_probability(now, backend, request)
        return latency_ms * (1 + FAILURE_COST * failure_probability) * (backend.in_flight + 1)

    def fallback_candidates(self, now: float, request: PendingRequest) -> list[Backend]:
        """Return listed backends that may serve a request which no backend of the subset may serve."""
        if must_not_run_again(request):
            return []
        sampled = self.backends.sample_ready(self.rng, required_cell(request))
        return [b for b in sampled if may_run_on(now, request, b)]
