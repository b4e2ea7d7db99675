"""Reports the usage of shared buckets to the counter service.

A read of a shared bucket also reports the usage that is known at that time. Usage that no read has reported
is reported after the next response of the counter or, if none arrives, by a timer.
"""

from .actions import Actions, SetTimer
from .counter_calls import UNIT_DECIMALS, CounterCall, PendingCounterCalls, ReportUsage
from .counter_throttle import CounterThrottle, ThrottleExponent
from .leases import MIN_REPORT_UNITS, REFRESH_INTERVAL_MS, Lease
from .requests import PendingRequest
from .settings import Settings
from .shared_bucket import SharedTokenBucket
from .timers import TimerKind, TimerToken

MIN_REPORTS_PER_BURST = 2.0
"""Minimum number of reports sent, on average, for a burst of requests of one unit each. A report that is
scaled up further would change a small bucket by more than the bucket holds."""


class UsageReporter:
    """Reports usage, as often as the counter's estimated capacity allows."""

    def __init__(self, settings: Settings, calls: PendingCounterCalls, throttle: CounterThrottle) -> None:
        self.settings = settings
        self.calls = calls
        self.throttle = throttle

    def charge(self, request: PendingRequest, shortfall: float, actions: Actions) -> None:
        """Charge a forwarded request's cost to the shared bucket; beyond the quota, charge nothing."""
        spent = request.cost if shortfall <= 0 else 0.0
        lease = request.lease
        lease.record_usage(spent, request.replace_reported_cost(spent))
        self._schedule_report(lease, actions)

    def refund(self, request: PendingRequest, actions: Actions) -> None:
        """Refund the reported cost of a request that ends without having been forwarded."""
        if request.reported_cost and not request.attempt_count:
            request.lease.record_usage(0.0, request.replace_reported_cost(0.0))
            self._schedule_report(request.lease, actions)

    def restore(self, call: CounterCall, lease: Lease, request: PendingRequest | None) -> None:
        """Add the units of a call that the counter has not processed to the next report."""
        reported_cost = request.replace_reported_cost(0.0) if request else 0.0
        lease.record_usage(call.units, reported_cost)

    def report(self, now: float, lease: Lease, bucket: SharedTokenBucket, actions: Actions) -> None:
        """Add the units that were spent but not reported, or subtract those reported but not spent.

        Reports are sampled: a report is sent with a probability p and scaled by 1/p, so that totals stay
        unbiased while an overloaded counter keeps its capacity for the reads that requests wait for.
        """
        units = lease.take_unreported_usage()
        min_probability = min(1.0, MIN_REPORTS_PER_BURST / max(bucket.burst, MIN_REPORTS_PER_BURST))
        probability = self.throttle.sampling_probability(min_probability)
        if abs(units) >= MIN_REPORT_UNITS and self.throttle.permits_report(probability):
            scaled_units = round(units / probability, UNIT_DECIMALS)
            self.calls.send(lease, ReportUsage(lease.customer, bucket.period(now), scaled_units), actions)

    def on_report_timer(self, now: float, lease: Lease, actions: Actions) -> None:
        """Report a customer's usage, if no call has reported it since the timer was set."""
        bucket = lease.shared_bucket
        if bucket is None:
            return
        lease.release_report_timer()
        if not lease.plan.is_over_quota_free or self.throttle.permits(ThrottleExponent.OVER_QUOTA_IS_FREE):
            self.report(now, lease, bucket, actions)

    def _schedule_report(self, lease: Lease, actions: Actions) -> None:
        """Set a timer for a report, in case no other call reports the usage earlier."""
        if self.settings.counter_available and lease.claim_report_timer():
            actions.append(SetTimer(REFRESH_INTERVAL_MS, TimerToken(TimerKind.USAGE_REPORT, lease.customer)))
