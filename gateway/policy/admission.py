"""Admission control: quotas, hard limits and load shedding by the estimated queueing delay."""

import random
from collections.abc import Iterable

from .requests import Attempt, PendingRequest
from .response_stats import MAX_LATENCY_RATIO, RECENT_WEIGHT, ResponseStats
from .settings import Settings

SHED_DELAY_FRACTION = 0.6
"""Estimated queueing delay, as a fraction of the latency objective, above which requests are shed."""

SHED_RAMP_FRACTION = 0.5
"""Where a gateway has few attempts in flight, the shed probability rises from 0 to 1 over this further
fraction of the latency objective."""

LOW_PRIORITY_REDUCTION = 0.25
"""Fraction by which the delay for shedding is reduced for a request class of no weight; others in
proportion."""

SPARE_DELAY_FRACTION = 0.1
"""Estimated queueing delay, as a fraction of the latency objective, under which there is spare capacity."""

IN_FLIGHT_PER_BACKEND = 3.0
"""Attempts of all gateways together that a backend may always have in flight."""

MIN_IN_FLIGHT = 2.0
"""Attempts in flight at this gateway under which their number does not show a queue."""

RELIABLE_IN_FLIGHT = 9.0
"""Attempts in flight above which their number alone shows a queue: the rate is known to about a third."""

RETRY_AFTER_FRACTION = 0.4
"""Delay before a client should retry, as a fraction of the latency objective, if no quota determines it."""


class AdmissionController:
    """Decides whether a request is forwarded, and when a client should retry one that is rejected."""

    def __init__(self, settings: Settings, rng: random.Random, stats: ResponseStats) -> None:
        self.settings = settings
        self.max_weight = max((c.priority_weight for c in settings.request_classes), default=1.0)
        self.rng = rng
        self.stats = stats
        self.allowed_in_flight = 0.0

    def set_backend_count(self, count: int) -> None:
        """Allow this gateway its even share of the attempts that `count` backends may always have."""
        self.allowed_in_flight = IN_FLIGHT_PER_BACKEND * count / max(1, self.settings.gateway_count)

    def queueing_delay(self, now: float, attempts: Iterable[Attempt]) -> float:
        """Milliseconds that one more request should take: attempts in flight over the rate (Little's law).

        The latency of responses shows an overload, and its end, only after a whole queue has passed; the
        number of attempts in flight is known at once. It shows floods, slow backends and lost capacity alike.
        Where this gateway's share of the attempts is too small to show a queue, the latency decides.

        With few attempts in flight, Little's law is too noisy: chance alone doubles the estimate, rejections
        lower the rate and raise it further, and all gateways of a large fleet would shed load though no
        backend is busy. So it requires elevated latency as well, in which attempts that are late count, too.
        """
        stats = self.stats
        latency_ms = stats.recent_latency(now)
        lost_after_ms = max(MAX_LATENCY_RATIO * max(stats.typical_ms, stats.recent_ms), 1.0)
        in_flight = 1
        for _, _, started_at in attempts:
            age_ms = now - started_at
            if age_ms < lost_after_ms:  # an attempt that is lost does not wait in a queue
                latency_ms *= max(1.0, age_ms / latency_ms) ** RECENT_WEIGHT
                in_flight += 1
        if self.allowed_in_flight < MIN_IN_FLIGHT:
            return latency_ms * max(1.0, in_flight / MIN_IN_FLIGHT) ** 2
        if in_flight <= self.allowed_in_flight:
            return 0.0
        queueing_ms = in_flight * 1000 / max(stats.rate(now), 1e-9)
        return queueing_ms if in_flight > RELIABLE_IN_FLIGHT else min(queueing_ms, latency_ms)

    def admits(
        self, request: PendingRequest, shortfall: float, relative_delay: float, expected_at: float
    ) -> bool:
        """Whether quota, limits and load let a request pass that would get its response at `expected_at`.

        `shortfall` is the tokens that its lease lacks, `relative_delay` the estimated queueing delay as a
        fraction of its latency objective.
        """
        lease = request.lease
        plan = lease.plan
        has_over_quota_revenue = plan.over_quota_revenue > plan.over_quota_cost
        may_exceed_quota = relative_delay < SPARE_DELAY_FRACTION and has_over_quota_revenue
        limit = plan.concurrency_limit
        is_over_quota = shortfall > 0 or (limit and lease.in_flight + 1 > max(1.0, limit * lease.share))
        is_over_hard_limit = plan.hard_limit_rate and lease.hard_limit_tokens < request.cost
        is_over_limit = is_over_hard_limit or (is_over_quota and not may_exceed_quota)
        is_shed = self._is_shed(request, relative_delay)
        return not is_over_limit and not is_shed and expected_at <= request.objective_at

    def quota_wait(self, request: PendingRequest, shortfall: float) -> float:
        """Milliseconds until the quota has a request's tokens; 0 if it does not lack them."""
        if shortfall <= 0:
            return 0.0
        lease = request.lease
        if lease.shared_bucket:  # jitter: all that are rejected now would retry for the same token
            return lease.shared_bucket.refill_time_ms(shortfall + request.cost * self.rng.random())
        return shortfall * 1000 / max(lease.plan.rate * lease.share, 1e-9)

    def retry_after(self, request: PendingRequest, quota_wait_ms: float) -> float:
        """Milliseconds after which a client should retry: once its quota, or the fault, allows it."""
        wait_ms = quota_wait_ms or request.request_class.latency_objective_ms * RETRY_AFTER_FRACTION
        return min(wait_ms, self.settings.max_retry_after_ms)

    def _is_shed(self, request: PendingRequest, relative_delay: float) -> bool:
        """Shed early what would be too late to be of use, requests of low priority first."""
        low_priority = 0.0
        if self.max_weight:
            low_priority = 1 - request.request_class.priority_weight / self.max_weight
        max_delay = SHED_DELAY_FRACTION * (1 - LOW_PRIORITY_REDUCTION * low_priority)
        ramp = SHED_RAMP_FRACTION * self.rng.random() if self.allowed_in_flight < MIN_IN_FLIGHT else 0.0
        return relative_delay > max_delay + ramp
