"""Admission control by quotas, hard limits and load; load is shed by the estimated queueing delay."""

import random
from collections.abc import Iterable

from .requests import Attempt, PendingRequest
from .response_stats import MAX_LATENCY_RATIO, MIN_RECENT_LATENCY_WEIGHT, ResponseStats
from .settings import RequestClass, Settings

SHED_DELAY_FRACTION = 0.6
"""Estimated queueing delay, as a fraction of the latency objective, above which requests are shed."""

SHED_RAMP_FRACTION = 0.5
"""Width of the range of queueing delays, as a fraction of the latency objective, in which the shed
probability rises from 0 to 1. The range applies to gateways with fewer than `MIN_IN_FLIGHT_FOR_ESTIMATE`
allowed attempts in flight; others shed all requests above its start."""

LOW_PRIORITY_DELAY_REDUCTION = 0.25
"""Fraction by which `SHED_DELAY_FRACTION` is reduced for a request class of priority weight 0; the reduction
falls linearly to 0 at the largest weight."""

SPARE_DELAY_FRACTION = 0.1
"""Estimated queueing delay, as a fraction of the latency objective, below which there is spare capacity."""

IN_FLIGHT_PER_BACKEND = 3.0
"""Number of attempts that each backend may always have in flight, from all gateways together."""

MIN_IN_FLIGHT_FOR_ESTIMATE = 2.0
"""Minimum `AdmissionController.allowed_in_flight` for the number of attempts in flight to show a queue."""

RELIABLE_IN_FLIGHT = 9.0
"""Attempts in flight above which their number alone shows a queue: the response rate is then known to within
about a third."""

RETRY_AFTER_FRACTION = 0.4
"""Delay before a client should retry, as a fraction of the latency objective, if its quota does not determine
the delay."""


class AdmissionController:
    """Decides whether a request is forwarded, and when the client should retry a rejected one."""

    def __init__(self, settings: Settings, rng: random.Random, stats: ResponseStats) -> None:
        self.settings = settings
        self.max_priority_weight = max((c.priority_weight for c in settings.request_classes), default=1.0)
        self.rng = rng
        self.stats = stats
        self.allowed_in_flight = 0.0

    def set_backend_count(self, count: int) -> None:
        """Set this gateway's even share of the attempts that `count` backends are always allowed."""
        self.allowed_in_flight = IN_FLIGHT_PER_BACKEND * count / max(1, self.settings.gateway_count)

    def queueing_delay(self, now: float, attempts: Iterable[Attempt]) -> float:
        """Estimate how many milliseconds one more request would take.

        The estimate is the number of attempts in flight divided by the response rate (Little's law), and 0
        while that number is within this gateway's share of the attempts that are always allowed. The latency
        of responses shows an overload, and its end, only after a whole queue has been processed, while the
        number of attempts in flight is known at once. This number rises with floods of requests, slow
        backends and lost capacity alike. Where this gateway's share of the attempts is too small to show a
        queue, the estimate is based on the recent latency instead.

        With few attempts in flight, Little's law is too noisy: chance alone can double the estimate,
        rejections lower the response rate and so raise the estimate further, and all gateways of a large
        fleet would shed load although no backend is busy. So the estimate is then at most the recent
        latency, in which overdue attempts count, too: load is shed only if the latency is elevated as well.
        """
        stats = self.stats
        latency_ms = stats.decayed_recent_latency(now)
        lost_after_ms = max(MAX_LATENCY_RATIO * max(stats.typical_latency_ms, stats.recent_latency_ms), 1.0)
        in_flight = 1
        for _, _, started_at in attempts:
            age_ms = now - started_at
            if age_ms < lost_after_ms:  # a lost attempt does not wait in a queue
                latency_ms *= max(1.0, age_ms / latency_ms) ** MIN_RECENT_LATENCY_WEIGHT
                in_flight += 1
        if self.allowed_in_flight < MIN_IN_FLIGHT_FOR_ESTIMATE:
            return latency_ms * max(1.0, in_flight / MIN_IN_FLIGHT_FOR_ESTIMATE) ** 2
        if in_flight <= self.allowed_in_flight:
            return 0.0
        littles_law_ms = in_flight * 1000 / max(stats.decayed_response_rate(now), 1e-9)
        return littles_law_ms if in_flight > RELIABLE_IN_FLIGHT else min(littles_law_ms, latency_ms)

    def admits(
        self, request: PendingRequest, shortfall: float, relative_delay: float, expected_response_at: float
    ) -> bool:
        """Return whether the quota, the limits and the load allow a request to be forwarded.

        `shortfall` is the number of tokens that the request's lease lacks, `relative_delay` the estimated
        queueing delay as a fraction of the request's latency objective, and `expected_response_at` the time
        at which the response would arrive.
        """
        lease = request.lease
        plan = lease.plan
        is_over_quota_profitable = plan.over_quota_revenue > plan.over_quota_cost
        may_exceed_quota = relative_delay < SPARE_DELAY_FRACTION and is_over_quota_profitable
        limit = plan.concurrency_limit
        is_over_quota = shortfall > 0 or (limit and lease.in_flight + 1 > max(1.0, limit * lease.share))
        is_over_hard_limit = plan.hard_limit_rate and lease.hard_limit_tokens < request.cost
        is_over_limit = is_over_hard_limit or (is_over_quota and not may_exceed_quota)
        is_shed = self._is_shed(request, relative_delay)
        return not is_over_limit and not is_shed and expected_response_at <= request.latency_objective_at

    def quota_wait(self, request: PendingRequest, shortfall: float) -> float:
        """Return the milliseconds until the quota has enough tokens for a request; 0 if it has them now."""
        if shortfall <= 0:
            return 0.0
        lease = request.lease
        if lease.shared_bucket:
            # Without jitter, all requests that are rejected now would be retried for the same token.
            return lease.shared_bucket.refill_time_ms(shortfall + request.cost * self.rng.random())
        return shortfall * 1000 / max(lease.plan.rate * lease.share, 1e-9)

    def retry_after(self, request: PendingRequest, quota_wait_ms: float) -> float:
        """Return the milliseconds after which a client should retry a request.

        This is the time until the quota has enough tokens. If the quota is not the reason for the rejection,
        it is a fraction of the latency objective, so that the fault may be over by then.
        """
        if not quota_wait_ms:
            return self.overload_retry_after(request.request_class)
        return min(quota_wait_ms, self.settings.max_retry_after_ms)

    def overload_retry_after(self, request_class: RequestClass) -> float:
        """Return the milliseconds after which a client should retry if its quota is not the reason."""
        wait_ms = request_class.latency_objective_ms * RETRY_AFTER_FRACTION
        return min(wait_ms, self.settings.max_retry_after_ms)

    def _is_shed(self, request: PendingRequest, relative_delay: float) -> bool:
        """Return whether to shed a request, because its response would be too late to be of use.

        Requests of low priority are shed first.
        """
        priority_gap = 0.0
        if self.max_priority_weight:
            priority_gap = 1 - request.request_class.priority_weight / self.max_priority_weight
        max_relative_delay = SHED_DELAY_FRACTION * (1 - LOW_PRIORITY_DELAY_REDUCTION * priority_gap)
        ramp = (
            SHED_RAMP_FRACTION * self.rng.random()
            if self.allowed_in_flight < MIN_IN_FLIGHT_FOR_ESTIMATE
            else 0.0
        )
        return relative_delay > max_relative_delay + ramp
