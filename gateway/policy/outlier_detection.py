"""Outlier detection: how likely a backend fails, how slow it is, and how long its responses are awaited.

A backend whose requests fail or take longer than those of others is an outlier. It is not ejected: its scores
raise its cost, so that it is chosen seldom, and decay, so that it is tried again.
"""

import math

from .backend_table import BackendTable
from .backends import Backend, Score
from .events import Outcome
from .requests import Attempt, PendingRequest
from .response_stats import ABANDONED, MAX_LATENCY_RATIO, ResponseStats

LATENCY_WEIGHT = 0.15
"""Weight of one response in a backend's excess latency."""

FAILURE_WEIGHT = 0.3
"""Weight of one outcome in a backend's failure scores."""

MIN_SCORE_MEMORY_MS = 4_000.0
"""Least time constant with which scores decay."""

SCORE_MEMORY_GAPS = 5.0
"""Time constant of the scores in mean gaps between two requests to a backend, within the bounds in
milliseconds: a backend that is seldom used must not be forgotten between them."""

MAX_SCORE_MEMORY_MS = 15_000.0
"""Largest time constant with which scores decay."""

NEGLIGIBLE_FAILURE_SCORE = 0.01
"""Failure score under which a backend counts as healthy for all classes and plans."""

FAILURE_COST = 8.0
"""A failure probability of 1 adds this multiple to a backend's cost, which puts it behind any healthy one."""

MIN_TIMEOUT_RATIO = 2.0
"""Least attempt time-out, for a failing backend, in typical latencies."""

INITIAL_TIMEOUT_FRACTION = 0.4
"""Attempt time-out before a typical latency is known, as a fraction of the latency objective."""


class OutlierDetector:
    """Scores the backends by the outcomes of their attempts."""

    def __init__(self, backends: BackendTable, stats: ResponseStats) -> None:
        self.endpoint_subset = backends.endpoint_subset
        self.stats = stats

    def failure_probability(self, now: float, backend: Backend, request: PendingRequest) -> float:
        """The probability that a backend fails a request.

        Failures may be specific to a request class or plan, so each has a score of its own; the two are
        combined as if they were independent, given the score of all requests.
        """
        scores = backend.scores
        if scores.failures.level < NEGLIGIBLE_FAILURE_SCORE:
            return 0.0  # scores only decay; this spares the computation for healthy backends
        overall_level = self._decayed(now, scores.failures)
        if overall_level < NEGLIGIBLE_FAILURE_SCORE:
            return 0.0
        class_score = scores.by_class.get(request.request_class.name)
        plan_score = scores.by_plan.get(request.lease.plan.name)
        if class_score is None or plan_score is None:
            return 0.0
        return min(1.0, self._decayed(now, class_score) * self._decayed(now, plan_score) / overall_level)

    def expected_latency(self, now: float, backend: Backend) -> float:
        """Milliseconds that a response of a backend should take, before its queue and its failures."""
        return max(1.0, self.stats.typical_ms + self._decayed(now, backend.scores.excess_latency))

    def attempt_timeout(self, now: float, attempt: Attempt) -> float:
        """Milliseconds that a response may take before the attempt counts as lost."""
        if not self.stats.typical_ms:
            return INITIAL_TIMEOUT_FRACTION * attempt.request.request_class.latency_objective_ms
        failure_probability = self.failure_probability(now, attempt.backend, attempt.request)
        ratio = max(MIN_TIMEOUT_RATIO, MAX_LATENCY_RATIO / (1 + FAILURE_COST * failure_probability))
        return ratio * self.stats.typical_ms

    def record_outcome(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        """Score a backend by the end of an attempt, and take its latency into the statistics."""
        latency_ms = max(1.0, now - attempt.started_at)
        is_abandoned = outcome in ABANDONED
        is_overdue = is_abandoned and latency_ms >= self.attempt_timeout(now, attempt)
        if outcome is Outcome.OK or is_abandoned:
            self._record_latency(now, attempt.backend, latency_ms, is_abandoned=is_abandoned)
            self.stats.record(now, latency_ms, outcome)
        if is_overdue or not is_abandoned:  # an early disconnect is no failure of the backend
            self._record_failure(now, attempt, is_failure=outcome not in (Outcome.OK, Outcome.NOT_STARTED))

    def _record_latency(self, now: float, backend: Backend, latency_ms: float, *, is_abandoned: bool) -> None:
        score = backend.scores.excess_latency
        excess_ms = self._decayed(now, score)
        capped_ms = self.stats.cap(latency_ms)
        typical_ms = self.stats.typical_ms
        if not is_abandoned or capped_ms > typical_ms + excess_ms:  # the response would have taken longer
            excess_sample_ms = capped_ms - (typical_ms or latency_ms)
            score.update(now, excess_ms + (excess_sample_ms - excess_ms) * LATENCY_WEIGHT)

    def _record_failure(self, now: float, attempt: Attempt, *, is_failure: bool) -> None:
        scores = attempt.backend.scores
        class_score = scores.by_class[attempt.request.request_class.name]
        plan_score = scores.by_plan[attempt.request.lease.plan.name]
        for score in (scores.failures, class_score, plan_score):
            level = self._decayed(now, score)
            score.update(now, level + (is_failure - level) * FAILURE_WEIGHT)

    def _decayed(self, now: float, score: Score) -> float:
        """The level of a score now; the scores of backends that are seldom used decay more slowly."""
        gap_ms = len(self.endpoint_subset.backends) * 1000 / max(self.stats.response_rate, 0.1)
        memory_ms = max(MIN_SCORE_MEMORY_MS, min(MAX_SCORE_MEMORY_MS, SCORE_MEMORY_GAPS * gap_ms))
        return score.level * math.exp((score.updated_at - now) / memory_ms)
