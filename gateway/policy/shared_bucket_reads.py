"""Reads and corrects the token buckets that many gateways share.

A customer whose quota is too small to be divided among its gateways has one bucket, kept as a total on the
counter service (`SharedTokenBucket`). A request that needs the bucket waits while it is read.
"""

from .actions import Actions
from .counter_calls import (
    UNIT_DECIMALS,
    CarryOverBucketDebt,
    CorrectTotal,
    PendingCounterCalls,
    ReadBucketDebt,
    ReadSharedBucket,
    UndoCorrection,
)
from .counter_throttle import CounterThrottle, ThrottleExponent
from .leases import TOTAL_TOLERANCE, Lease
from .requests import PendingRequest
from .settings import Plan, Settings

MAX_RELATIVE_DEVIATION = 0.5
"""Fraction of the burst by which a level may be out of bounds before the total is corrected; also the
fraction of a correction by which the total may then overshoot the expected one before the correction is
undone."""

MAX_READ_WAIT_IN_TIMEOUTS = 2
"""Longest wait of a request for its read, in timeouts of a counter call; a read may need a second call."""


class SharedBucketReader:
    """Reads shared buckets for requests, as often as the counter's estimated capacity allows."""

    def __init__(self, settings: Settings, calls: PendingCounterCalls, throttle: CounterThrottle) -> None:
        self.settings = settings
        self.calls = calls
        self.throttle = throttle

    def read(self, now: float, request: PendingRequest, actions: Actions) -> bool:
        """Read the shared bucket for a request that needs it; return whether the request waits for the read.

        The call spends the request's tokens at once and a rejection gives them back, so that two gateways
        that call at the same time do not both get the last token. If a rejection is likely, the call only
        reads.

        Calls are throttled on the client side: an overloaded counter cannot handle a call for each request,
        and customers far beyond their quotas send most requests. Their requests are rejected without a read,
        or admitted if the plan loses nothing beyond its quota. Meanwhile the bucket refills for the requests
        that still cause a read.
        """
        lease = request.lease
        bucket = lease.shared_bucket
        if bucket is None or not self.settings.counter_available or now < lease.empty_until:
            return False
        if now < lease.fresh_until and lease.tokens >= request.cost:
            return False  # other gateways cannot have spent these tokens since the last read
        is_likely_over_quota = now < lease.likely_empty_until or request.is_retry
        if not self._permits_read(lease.plan, is_likely_over_quota=is_likely_over_quota):
            self._assume_shortfall(now, request, is_likely_over_quota=is_likely_over_quota)
            return False
        reported_cost = 0.0 if is_likely_over_quota else request.cost
        request.replace_reported_cost(reported_cost)
        units = round(lease.take_unreported_usage() + reported_cost, UNIT_DECIMALS)
        self.calls.send(
            lease, ReadSharedBucket(lease.customer, bucket.period(now), units, request.id), actions
        )
        request.schedule_check(
            now, now + MAX_READ_WAIT_IN_TIMEOUTS * self.settings.counter_timeout_ms, actions
        )
        return True

    def on_total(
        self, now: float, request: PendingRequest, call: ReadSharedBucket, total: float, actions: Actions
    ) -> bool:
        """Set the level of a bucket that was read; return False if the last period's debt is read first."""
        if total <= call.units + TOTAL_TOLERANCE and self.throttle.permits_maintenance():
            lease = request.lease
            self.calls.send(lease, ReadBucketDebt(lease.customer, call.period - 1, request.id), actions)
            return False
        self._update_level(now, request, period=call.period, total=total, actions=actions)
        return True

    def on_debt_read(
        self, now: float, request: PendingRequest, call: ReadBucketDebt, total: float, actions: Actions
    ) -> None:
        """Carry the debt of a period over to the next one, and set the resulting level."""
        lease = request.lease
        if lease.shared_bucket is None:
            return
        period = call.period + 1
        debt = lease.shared_bucket.debt(total)
        if debt > 0:
            units = round(debt, UNIT_DECIMALS)
            self.calls.send(lease, CarryOverBucketDebt(lease.customer, period, units), actions)
        total = debt + request.reported_cost
        self._update_level(now, request, period=period, total=total, actions=actions)

    def on_corrected(self, lease: Lease, call: CorrectTotal, total: float, actions: Actions) -> None:
        """Undo a correction that another gateway has made as well, unless its expected total is 0."""
        if not call.expected_total:
            return
        if (total - call.expected_total) / call.units > MAX_RELATIVE_DEVIATION:
            units = round(-call.units, UNIT_DECIMALS)
            self.calls.send(lease, UndoCorrection(lease.customer, call.period, units), actions)

    def _permits_read(self, plan: Plan, *, is_likely_over_quota: bool) -> bool:
        """Decide at random whether to read a bucket, by the benefit of a read."""
        if plan.is_over_quota_free:
            exponent = ThrottleExponent.OVER_QUOTA_IS_FREE
        elif is_likely_over_quota:
            exponent = ThrottleExponent.LIKELY_OVER_QUOTA
        else:
            exponent = ThrottleExponent.LIKELY_WITHIN_QUOTA
        return self.throttle.permits(exponent)

    def _assume_shortfall(self, now: float, request: PendingRequest, *, is_likely_over_quota: bool) -> None:
        """Assume the token shortfall of a request whose bucket is not read; by default, its lease decides."""
        lease = request.lease
        if lease.plan.is_over_quota_free:
            if now >= lease.likely_empty_until:
                request.assume_shortfall(0.0)
        elif is_likely_over_quota:
            request.assume_shortfall(request.cost)

    def _update_level(
        self, now: float, request: PendingRequest, period: int, total: float, actions: Actions
    ) -> None:
        """Set the level of a request's lease from a total; correct a total that no real bucket could have."""
        lease = request.lease
        bucket = lease.shared_bucket
        if bucket is None or not lease.accept_total(now, period, total, max(bucket.burst, request.cost)):
            return
        unbounded_level = bucket.level(now, period, total - request.reported_cost)
        level = max(0.0, min(unbounded_level, bucket.burst))
        needs_correction = abs(unbounded_level - level) > MAX_RELATIVE_DEVIATION * bucket.burst
        if needs_correction and self.throttle.permits_maintenance():
            correction = round(unbounded_level - level, UNIT_DECIMALS)
            expected_total = total + unbounded_level - level
            if correction:
                call = CorrectTotal(lease.customer, period, correction, expected_total)
                self.calls.send(lease, call, actions)
        lease.set_level(now, bucket, level, request.cost)
