"""Leases: what each customer may use at this gateway, in cost units; times are milliseconds."""

import math

from .events import RequestArrived
from .settings import Plan, Settings
from .shared_bucket import SharedTokenBucket, counter_key

LEASE_MS = 15_000.0  # how long a lease lasts unless it is renewed; the design's figure
REFRESH_INTERVAL_MS = 500.0  # least time between refreshes: shares follow a shift, calls stay under requests
SPARSE_BURST = 1.5  # of the largest requests: a fair share of the burst under it is too thin to spend locally
DEMAND_MEMORY_MS = 3_000.0  # memory of the demand at this gateway and at all of them
TOTAL_TOLERANCE = 0.01  # units by which a counter's total may be off by rounding
EMPTY_MEMORY_FILLS = 2.0  # times that an empty bucket takes to fill, for which it is likely to be short
SURGE = 5.0  # a reading stands until so many times the quota's rate could have spent what it showed


class Lease:
    """A customer's lease: this gateway's share of the quota, and its local token bucket.

    `RetryController` counts `in_flight`; `UsageReporter` keeps `unreported_usage` and `has_report_timer`.
    """

    def __init__(
        self, event: RequestArrived, plan: Plan, largest_cost: float, age_ms: float, now: float
    ) -> None:
        self.key = event.customer
        self.counter_key = counter_key(self.key)
        self.plan = plan
        self.largest_cost = largest_cost
        self.fair_share = 1 / max(1, event.gateway_set_size)
        self.share = self.fair_share  # of quota and burst
        self.tokens = max(largest_cost, plan.burst * self.fair_share)
        # Danger: a restarted gateway does not know what it sent before. Counted as empty at its start, its
        # share of the hard limit can never be spent twice.
        self.hard_limit_tokens = age_ms / 1000 * plan.hard_limit_rate * self.fair_share
        self.refilled_at = now
        self.retention_ms = max(LEASE_MS, plan.hard_limit_burst / max(plan.hard_limit_rate, 1e-9) * 1000)
        is_sparse = plan.burst * self.fair_share < SPARSE_BURST * largest_cost and plan.rate > 0
        self.shared_bucket = SharedTokenBucket.of(self.key, plan.rate, plan.burst) if is_sparse else None
        fill_ms = plan.burst / max(plan.rate, 1e-9) * 1000
        self.period_ms = min(LEASE_MS, max(REFRESH_INTERVAL_MS, fill_ms))  # an empty burst is full after it
        self.expires_at = now + LEASE_MS
        self.fresh_until = now
        self.empty_until = self.likely_empty_until = now  # of the shared bucket, as last read
        self.demand_here = self.demand_of_all = 0.0  # units lately asked for here, and at all gateways
        self.demand_at = now
        self.last_period, self.last_total = -1, 0.0  # of the counter, as last read
        self.in_flight = 0
        self.unreported_usage = 0.0  # units; negative where more was reported than spent
        self.has_report_timer = False

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill, up to this gateway's share of the burst."""
        if now > self.expires_at:
            self.share = self.fair_share  # an unheard lease reverts to the safe capacity
        plan = self.plan
        elapsed_s = (now - self.refilled_at) / 1000
        self.refilled_at = now
        capacity = max(self.largest_cost, plan.burst * self.share)
        self.tokens = min(capacity, self.tokens + elapsed_s * plan.rate * self.share)
        earned = elapsed_s * plan.hard_limit_rate * self.fair_share
        self.hard_limit_tokens = min(plan.hard_limit_burst * self.fair_share, self.hard_limit_tokens + earned)

    def spend(self, cost: float) -> None:
        """Take a forwarded request's tokens; one beyond the quota takes none of the quota's."""
        if 0 < cost <= self.tokens:
            self.tokens -= cost
        self.hard_limit_tokens -= cost

    def resize(self, now: float, period: int, amount: float, total: float) -> None:
        """Size a lease that is spent locally by a period's total, to which this gateway added an amount.

        The total holds the units asked for and those owed; the local bucket gets a share of what is left.
        """
        before = self.last_total
        is_same_period = period == self.last_period
        fade = math.exp((self.demand_at - now) / DEMAND_MEMORY_MS)
        self.demand_at = now
        self._note_total(now, period, total)
        if is_same_period and total < before - TOTAL_TOLERANCE:
            # Danger: the counter lost its totals; it would look as if nobody had asked for anything.
            return
        if is_same_period:
            self.demand_here = self.demand_here * fade + amount
            self.demand_of_all = self.demand_of_all * fade + max(amount, total - before)
        rate = self.plan.rate
        paid = max(0.0, rate * (now - period * self.period_ms) / 1000)  # under 0 by rounding only
        left = paid - (total - self.plan.burst)
        load = min(1.0, self.demand_of_all * 1000 / DEMAND_MEMORY_MS / rate)
        self.share = self.fair_share
        if self.demand_of_all:
            self.share = 1 - (1 - min(1.0, self.demand_here / self.demand_of_all)) * load
        self.tokens = max(self.tokens, left * self.share)
        self.fresh_until = now + max(REFRESH_INTERVAL_MS, left / (SURGE * rate) * 1000)

    def accept_total(self, now: float, period: int, total: float, tolerance: float) -> bool:
        """Take in a total of the shared bucket; false if the last level has to stand.

        Danger: a counter that lost its totals looks as if nobody had spent anything.
        """
        is_accepted = period != self.last_period or total > self.last_total - tolerance
        self._note_total(now, period, total)
        return is_accepted

    def set_level(self, now: float, bucket: SharedTokenBucket, level: float, cost: float) -> None:
        """Take the shared bucket's level, as read for a request of a cost."""
        self.tokens = level
        self.share = max(self.fair_share, level / max(bucket.burst, 1e-9))
        self.empty_until = now + bucket.wait(cost - level)
        if level < cost:
            self.likely_empty_until = self.empty_until + EMPTY_MEMORY_FILLS * bucket.wait(bucket.burst)
        self.fresh_until = now + bucket.wait(level - cost) / SURGE

    def _note_total(self, now: float, period: int, total: float) -> None:
        self.expires_at = now + LEASE_MS
        self.last_period = period
        self.last_total = total


class LeaseTable:
    """The leases of the customers that this gateway has lately met."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_customer: dict[str, Lease] = {}
        self.started_at = self.swept_at = 0.0

    def start(self, now: float) -> None:
        """Begin with the first event."""
        self.started_at = self.swept_at = now

    def lease_for(self, now: float, event: RequestArrived) -> Lease:
        """The lease of a request's customer, refilled, or a new one."""
        if now - self.swept_at > LEASE_MS:
            self._forget_idle(now)
        lease = self.by_customer.get(event.customer)
        if lease is None:
            plan = self.plans.get(event.plan) or Plan(event.plan)  # an unknown plan has no quota to keep
            lease = Lease(event, plan, self.settings.max_request_cost, now - self.started_at, now)
            self.by_customer[event.customer] = lease
        lease.refill(now)
        return lease

    def _forget_idle(self, now: float) -> None:
        kept = [c for c in self.by_customer.values() if c.in_flight or now - c.refilled_at <= c.retention_ms]
        self.by_customer = {lease.key: lease for lease in kept}
        self.swept_at = now
