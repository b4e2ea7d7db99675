"""Outlier detection: a backend's failure probability and latency, and the timeouts of its attempts.

A backend whose requests fail, or take longer than those of others, is an outlier. It is not ejected. Its
scores raise its cost, so that it is seldom chosen, and they decay, so that it is tried again.
"""

import math

from .backend_table import BackendTable
from .backends import Backend, Score
from .events import Outcome
from .requests import Attempt, PendingRequest
from .response_stats import ABANDONED_OUTCOMES, MAX_LATENCY_RATIO, ResponseStats

LATENCY_WEIGHT = 0.15
"""Weight of one response in the moving average of a backend's excess latency."""

FAILURE_WEIGHT = 0.3
"""Weight of one outcome in the moving averages of a backend's failures."""

MIN_SCORE_DECAY_MS = 4_000.0
"""Minimum time constant of the decay of scores."""

SCORE_DECAY_IN_GAPS = 5.0
"""Time constant of the decay of scores, as a multiple of the mean time between two requests to a backend, so
that the scores of a backend that is seldom used last from one request to the next. It is bounded by
`MIN_SCORE_DECAY_MS` and `MAX_SCORE_DECAY_MS`."""

MAX_SCORE_DECAY_MS = 15_000.0
"""Maximum time constant of the decay of scores."""

NEGLIGIBLE_FAILURE_SCORE = 0.01
"""Failure score below which a backend counts as healthy for all request classes and plans."""

FAILURE_COST = 8.0
"""Multiple of a backend's cost that is added at a failure probability of 1, which puts the backend behind any
healthy one."""

MIN_TIMEOUT_RATIO = 2.0
"""Minimum timeout of an attempt, reached at a failing backend, as a multiple of the typical latency."""

INITIAL_TIMEOUT_FRACTION = 0.4
"""Timeout of an attempt before the typical latency is known, as a fraction of the latency objective."""


class OutlierDetector:
    """Scores backends by the outcomes of their attempts."""

    def __init__(self, backends: BackendTable, stats: ResponseStats) -> None:
        self.endpoint_subset = backends.endpoint_subset
        self.stats = stats

    def failure_probability(self, now: float, backend: Backend, request: PendingRequest) -> float:
        """Return the probability that a backend fails a request.

        Failures may be specific to a request class or a plan, so each class and each plan has its own score.
        The two scores are combined as if they were independent, relative to the score over all requests.
        """
        scores = backend.scores
        # A score only decays between updates, so a healthy backend needs no computation.
        if scores.failures.level < NEGLIGIBLE_FAILURE_SCORE:
            return 0.0
        overall_level = self._decayed(now, scores.failures)
        if overall_level < NEGLIGIBLE_FAILURE_SCORE:
            return 0.0
        class_score = scores.by_class.get(request.request_class.name)
        plan_score = scores.by_plan.get(request.lease.plan.name)
        if class_score is None or plan_score is None:
            return 0.0
        return min(1.0, self._decayed(now, class_score) * self._decayed(now, plan_score) / overall_level)

    def expected_latency(self, now: float, backend: Backend) -> float:
        """Return the expected latency of a backend in milliseconds, regardless of queue and failures."""
        return max(1.0, self.stats.typical_latency_ms + self._decayed(now, backend.scores.excess_latency))

    def attempt_timeout(self, now: float, attempt: Attempt) -> float:
        """Return the milliseconds that a response may take before the attempt is overdue."""
        if not self.stats.typical_latency_ms:
            return INITIAL_TIMEOUT_FRACTION * attempt.request.request_class.latency_objective_ms
        failure_probability = self.failure_probability(now, attempt.backend, attempt.request)
        ratio = max(MIN_TIMEOUT_RATIO, MAX_LATENCY_RATIO / (1 + FAILURE_COST * failure_probability))
        return ratio * self.stats.typical_latency_ms

    def record_outcome(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        """Update a backend's scores and the response statistics with the outcome of an attempt."""
        latency_ms = max(1.0, now - attempt.started_at)
        is_abandoned = outcome in ABANDONED_OUTCOMES
        is_overdue = is_abandoned and latency_ms >= self.attempt_timeout(now, attempt)
        if outcome is Outcome.OK or is_abandoned:
            self._record_latency(now, attempt.backend, latency_ms, is_abandoned=is_abandoned)
            self.stats.record(now, latency_ms, outcome)
        if is_overdue or not is_abandoned:  # an attempt that was abandoned early is no failure
            self._record_failure(now, attempt, is_failure=outcome not in (Outcome.OK, Outcome.NOT_STARTED))

    def _record_latency(self, now: float, backend: Backend, latency_ms: float, *, is_abandoned: bool) -> None:
        score = backend.scores.excess_latency
        excess_ms = self._decayed(now, score)
        capped_ms = self.stats.capped(latency_ms)
        typical_ms = self.stats.typical_latency_ms
        # An abandoned response would have taken longer, so its latency counts only if it raises the score.
        if not is_abandoned or capped_ms > typical_ms + excess_ms:
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
        """Return the level of a score now; scores decay more slowly where backends are seldom used."""
        gap_ms = len(self.endpoint_subset.backends) * 1000 / max(self.stats.response_rate, 0.1)
        decay_ms = max(MIN_SCORE_DECAY_MS, min(MAX_SCORE_DECAY_MS, SCORE_DECAY_IN_GAPS * gap_ms))
        return score.level * math.exp((score.updated_at - now) / decay_ms)
