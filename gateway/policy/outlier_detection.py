"""Outlier detection: how likely a backend fails, how slow it is, and how long it is waited for."""

import math

from .backend_table import BackendTable
from .backends import Backend, Score
from .events import Outcome
from .requests import Attempt, PendingRequest
from .response_stats import GIVEN_UP, MAX_LATENCY_RATIO, ResponseStats

LATENCY_WEIGHT = 0.15  # of one response in a backend's excess latency
FAILURE_WEIGHT = 0.3  # of one outcome in a backend's failure scores
SCORE_MEMORY_MS = 4_000.0  # a score fades to a third in this time at least ...
SCORE_MEMORY_GAPS = 5.0  # ... or in so many usual gaps between requests to a backend, if longer ...
MAX_SCORE_MEMORY_MS = 15_000.0  # ... but in this time at most
NEGLIGIBLE_FAILURES = 0.01  # a failure score under this says nothing of a class or a plan
FAILURE_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy one
MIN_TIMEOUT_RATIO = 2.0  # typical latencies that a failing backend is waited for
FIRST_TIMEOUT_FRACTION = 0.4  # of the latency objective that an attempt may take before a latency is known


class OutlierDetector:
    """Scores the backends by the outcomes of their attempts."""

    def __init__(self, backends: BackendTable, stats: ResponseStats) -> None:
        self.endpoints = backends.endpoints
        self.stats = stats

    def failure_probability(self, now: float, backend: Backend, request: PendingRequest) -> float:
        """How likely a backend fails a request: one class or plan may fare ill where others are served."""
        scores = backend.scores
        of_all = self._faded(now, scores.failures)
        if of_all < NEGLIGIBLE_FAILURES:
            return 0.0
        of_class = scores.by_class.get(request.request_class.name)
        of_plan = scores.by_plan.get(request.lease.plan.name)
        if of_class is None or of_plan is None:
            return 0.0
        return min(1.0, self._faded(now, of_class) * self._faded(now, of_plan) / of_all)

    def expected_latency(self, now: float, backend: Backend) -> float:
        """Milliseconds that a response of a backend should take, before its queue and its failures."""
        return max(1.0, self.stats.typical_ms + self._faded(now, backend.scores.excess_latency))

    def attempt_timeout(self, now: float, attempt: Attempt) -> float:
        """Milliseconds that a response may take before the attempt counts as lost."""
        if not self.stats.typical_ms:
            return FIRST_TIMEOUT_FRACTION * attempt.request.request_class.latency_objective_ms
        failing = self.failure_probability(now, attempt.backend, attempt.request)
        ratio = max(MIN_TIMEOUT_RATIO, MAX_LATENCY_RATIO / (1 + FAILURE_COST * failing))
        return ratio * self.stats.typical_ms

    def record_outcome(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        """Score a backend by the end of an attempt, and take its latency into the statistics."""
        latency_ms = max(1.0, now - attempt.started_at)
        is_given_up = outcome in GIVEN_UP
        is_overdue = is_given_up and latency_ms >= self.attempt_timeout(now, attempt)
        if outcome is Outcome.OK or is_given_up:
            self._record_latency(now, attempt.backend, latency_ms, is_given_up=is_given_up)
            self.stats.record(now, latency_ms, outcome)
        if is_overdue or not is_given_up:  # a client that left early says nothing of the backend
            self._record_failure(now, attempt, is_failure=outcome not in (Outcome.OK, Outcome.NOT_STARTED))

    def _record_latency(self, now: float, backend: Backend, latency_ms: float, *, is_given_up: bool) -> None:
        score = backend.scores.excess_latency
        excess_ms = self._faded(now, score)
        capped_ms = self.stats.cap(latency_ms)
        typical_ms = self.stats.typical_ms
        if not is_given_up or capped_ms > typical_ms + excess_ms:  # it took longer yet
            score.level = excess_ms + (capped_ms - (typical_ms or latency_ms) - excess_ms) * LATENCY_WEIGHT
            score.updated_at = now

    def _record_failure(self, now: float, attempt: Attempt, *, is_failure: bool) -> None:
        scores = attempt.backend.scores
        of_class = scores.by_class[attempt.request.request_class.name]
        of_plan = scores.by_plan[attempt.request.lease.plan.name]
        for score in (scores.failures, of_class, of_plan):
            level = self._faded(now, score)
            score.level = level + (is_failure - level) * FAILURE_WEIGHT
            score.updated_at = now

    def _faded(self, now: float, score: Score) -> float:
        """A score as far as it has not faded; a backend that is seldom used is remembered longer."""
        gap_ms = len(self.endpoints.backends) * 1000 / max(self.stats.response_rate, 0.1)
        memory_ms = max(SCORE_MEMORY_MS, min(MAX_SCORE_MEMORY_MS, SCORE_MEMORY_GAPS * gap_ms))
        return score.level * math.exp((score.updated_at - now) / memory_ms)
