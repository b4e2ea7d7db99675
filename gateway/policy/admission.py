"""Admission control: quotas, hard limits and load shedding by the estimated queueing delay."""

import random
from collections.abc import Iterable

from .requests import Attempt, PendingRequest
from .response_stats import MAX_LATENCY_RATIO, RECENT_WEIGHT, ResponseStats
from .settings import Settings

SHED_THRESHOLD = 0.6  # of the latency objective: an estimated delay above it leads to rejections ...
SHED_BAND = 0.5  # ... of a part of the requests, up to all above this more, where requests are few ...
SHED_PRIORITY_SPAN = 0.25  # ... and earlier, by up to this part, of request classes of low priority
CALM_THRESHOLD = 0.1  # of the latency objective: a delay under which capacity counts as clearly spare
IN_FLIGHT_PER_BACKEND = 3.0  # attempts of all gateways together that are always allowed at a backend
MIN_IN_FLIGHT = 2.0  # fewer allowed attempts than this tell nothing of a queue
PROVEN_IN_FLIGHT = 9.0  # with so many the rate is known to a third; a count under it alone proves nothing
RETRY_AFTER_FRACTION = 0.4  # of the latency objective, after which a fault may be over


class AdmissionController:
    """Decides whether a request is forwarded, and when one that is rejected should come again."""

    def __init__(self, settings: Settings, rng: random.Random, stats: ResponseStats) -> None:
        self.settings = settings
        self.max_weight = max((c.priority_weight for c in settings.request_classes), default=1.0)
        self.rng = rng
        self.stats = stats
        self.allowed_in_flight = 0.0

    def set_backend_count(self, count: int) -> None:
        """Take in the number of backends that are listed."""
        self.allowed_in_flight = IN_FLIGHT_PER_BACKEND * count / max(1, self.settings.gateway_count)

    def queueing_delay(self, now: float, attempts: Iterable[Attempt]) -> float:
        """Milliseconds that one more request should take: what is in flight over the rate (Little's law).

        Danger: judged by the latency of responses, overload and its end are seen a whole queue too late. What
        is in flight is known at once. It covers floods, slow backends and lost capacity; it could reject too
        much where traffic multiplies in a second. Where one gateway's few tell nothing, latency decides.

        Danger: among a handful in flight chance alone doubles this ratio, rejections lower the rate and so
        raise it again, and every gateway of a large fleet rejects though no backend is busy. A handful must
        be borne out by the latency, which those that are in flight and late count for as well.
        """
        stats = self.stats
        latency_ms = stats.recent_latency(now)
        lost_after_ms = max(MAX_LATENCY_RATIO * max(stats.typical_ms, stats.recent_ms), 1.0)
        waiting = 1
        for _, _, started_at in attempts:
            age_ms = now - started_at
            if age_ms < lost_after_ms:  # lost ones don't wait in any queue
                latency_ms *= max(1.0, age_ms / latency_ms) ** RECENT_WEIGHT
                waiting += 1
        if self.allowed_in_flight < MIN_IN_FLIGHT:
            return latency_ms * max(1.0, waiting / MIN_IN_FLIGHT) ** 2
        if waiting <= self.allowed_in_flight:
            return 0.0
        queued_ms = waiting * 1000 / max(stats.rate(now), 1e-9)
        return queued_ms if waiting > PROVEN_IN_FLIGHT else min(queued_ms, latency_ms)

    def admits(self, request: PendingRequest, shortfall: float, strain: float, expected_at: float) -> bool:
        """Whether quota, limits and load let a request pass that would be answered at `expected_at`.

        `shortfall` is the tokens that its lease lacks, `strain` the delay as a part of its latency objective.
        """
        lease = request.lease
        plan = lease.plan
        earns_beyond_quota = strain < CALM_THRESHOLD and plan.over_quota_revenue > plan.over_quota_cost
        limit = plan.concurrency_limit
        is_over_quota = shortfall > 0 or (limit and lease.in_flight + 1 > max(1.0, limit * lease.share))
        is_over_hard_limit = plan.hard_limit_rate and lease.hard_limit_tokens < request.cost
        is_barred = is_over_hard_limit or (is_over_quota and not earns_beyond_quota)
        # Reject early what would be answered too late; a class of higher priority holds out longer.
        weight = request.request_class.priority_weight
        lesser = 1 - weight / self.max_weight if self.max_weight else 0.0
        band = SHED_BAND * self.rng.random() if self.allowed_in_flight < MIN_IN_FLIGHT else 0.0
        is_shed = strain > SHED_THRESHOLD * (1 - SHED_PRIORITY_SPAN * lesser) + band
        return not is_barred and not is_shed and expected_at <= request.objective_at

    def quota_wait(self, request: PendingRequest, shortfall: float) -> float:
        """Milliseconds until the quota has a request's tokens; 0 if it does not lack them."""
        if shortfall <= 0:
            return 0.0
        lease = request.lease
        if lease.shared_bucket:  # all that are rejected now would come back for the same token
            return lease.shared_bucket.wait(shortfall + request.cost * self.rng.random())
        return shortfall * 1000 / max(lease.plan.rate * lease.share, 1e-9)

    def retry_after(self, request: PendingRequest, quota_wait_ms: float) -> float:
        """When a rejected request should come again; where no quota tells, once the fault may be over."""
        wait_ms = quota_wait_ms or request.request_class.latency_objective_ms * RETRY_AFTER_FRACTION
        return min(wait_ms, self.settings.max_retry_after_ms)
