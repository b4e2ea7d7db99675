"""Leases: how much each customer may use at this gateway, in cost units; times are in milliseconds.

A customer's quota holds for all gateways together, but each gateway admits requests by itself. Each gateway
therefore holds a lease for each customer: a share of the quota that it spends from a local token bucket. The
lease is resized as the demand moves between gateways; a lease that is not renewed in time reverts to the fair
share, with which all gateways together cannot exceed the quota. If the fair share of the burst is too small
to be spent locally, the customer's gateways share one bucket on the counter service instead
(`SharedTokenBucket`).
"""

import math

from .events import RequestArrived
from .settings import Plan
from .shared_bucket import RETAINED_PERIODS, TOTAL_RETENTION_MS, SharedTokenBucket, counter_key

LEASE_MS = 15_000.0
"""How long a lease lasts unless it is renewed."""

REFRESH_INTERVAL_MS = 500.0
"""Minimum time between two refreshes of a lease, so that the counter gets fewer calls than the gateway
gets requests."""

MIN_LOCAL_BURST_REQUESTS = 1.5
"""Minimum fair share of the burst that is spent locally, in requests of the largest cost; below it, the
customer's gateways share one bucket."""

DEMAND_DECAY_MS = 3_000.0
"""Time constant of the exponential decay of the demand at this gateway and at all gateways."""

TOTAL_TOLERANCE = 0.01
"""Units by which a total of the counter may be wrong because of rounding."""

MIN_REPORT_UNITS = 0.01
"""Minimum unreported usage, in units, for which a call is made; less than that is rounding error."""

LIKELY_EMPTY_FILL_TIMES = 2.0
"""How long requests are still assumed to be over quota once a shared bucket that lacked tokens has had time
to gain them, in multiples of the time in which the bucket fills."""

FORGETTABLE_AFTER_MS = 250.0
"""Time without a request after which a lease may be forgotten to make room: until then, a request may still
wait for the counter or for a retry."""

MAX_SPEND_RATE_MULTIPLE = 5.0
"""Expected upper limit of the rate at which all gateways together spend a quota, as a multiple of its rate. A
total that was read stays fresh for the time in which they would spend the rest of the quota at this rate."""


class Lease:
    """A customer's lease: this gateway's share of the quota, and its local token bucket."""

    def __init__(
        self, event: RequestArrived, plan: Plan, largest_cost: float, uptime_ms: float, now: float
    ) -> None:
        self.customer = event.customer
        self.counter_key = counter_key(self.customer)
        self.plan = plan
        self.largest_cost = largest_cost
        self.fair_share = 1 / max(1, event.gateway_set_size)
        self.share = self.fair_share  # fraction of the quota and of the burst
        self.tokens = self._initial_tokens
        # A hard limit must hold across a restart, but this process does not know what the previous one
        # forwarded. The share is therefore empty when the process starts, so that it cannot be spent twice.
        self.hard_limit_tokens = uptime_ms / 1000 * plan.hard_limit_rate * self.fair_share
        self.refilled_at = now
        self.retention_ms = max(LEASE_MS, plan.hard_limit_burst / max(plan.hard_limit_rate, 1e-9) * 1000)
        needs_shared_bucket = (
            plan.burst * self.fair_share < MIN_LOCAL_BURST_REQUESTS * largest_cost and plan.rate > 0
        )
        self.shared_bucket = (
            SharedTokenBucket.for_customer(self.customer, plan.rate, plan.burst)
            if needs_shared_bucket
            else None
        )
        fill_ms = plan.burst / max(plan.rate, 1e-9) * 1000
        # A period is the time in which an empty bucket fills, within limits.
        self.period_ms = min(LEASE_MS, max(REFRESH_INTERVAL_MS, fill_ms))
        self.expires_at = now + LEASE_MS
        self.fresh_until = now  # until then, the last total counts as recent
        self.empty_until = self.likely_empty_until = now  # set by reads of the shared bucket
        self.local_demand = self.total_demand = 0.0  # recent units here and at all gateways; they decay
        self.demand_updated_at = now
        self.last_period, self.last_total = -1, 0.0  # as of the counter's last response
        self.in_flight = 0
        self.unreported_usage = 0.0  # units; negative if more was reported than spent
        self.has_report_timer = False

    @property
    def _initial_tokens(self) -> float:
        return max(self.largest_cost, self.plan.burst * self.fair_share)

    @property
    def total_lifetime_ms(self) -> float:
        """How long the counter keeps a total of the customer, counted from its first call."""
        return TOTAL_RETENTION_MS if self.shared_bucket else RETAINED_PERIODS * self.period_ms

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill, up to this gateway's share of the burst."""
        if now > self.expires_at:
            self.share = self.fair_share  # an expired lease reverts to the share that is safe without calls
        self.tokens = self._refilled_tokens(now, self.share)
        self.hard_limit_tokens = self._refilled_hard_limit_tokens(now)
        self.refilled_at = now

    def _refilled_tokens(self, now: float, share: float) -> float:
        elapsed_s = (now - self.refilled_at) / 1000
        capacity = max(self.largest_cost, self.plan.burst * share)
        return min(capacity, self.tokens + elapsed_s * self.plan.rate * share)

    def _refilled_hard_limit_tokens(self, now: float) -> float:
        elapsed_s = (now - self.refilled_at) / 1000
        earned = elapsed_s * self.plan.hard_limit_rate * self.fair_share
        return min(self.plan.hard_limit_burst * self.fair_share, self.hard_limit_tokens + earned)

    def can_be_forgotten(self, now: float) -> bool:
        """Return whether a new lease in place of this one would allow the customer nothing more.

        That is so once the tokens that were spent have been earned again.
        """
        plan = self.plan
        if self.in_flight or self.has_report_timer or now - self.refilled_at < FORGETTABLE_AFTER_MS:
            return False
        hard_limit_capacity = plan.hard_limit_burst * self.fair_share
        if plan.hard_limit_rate and self._refilled_hard_limit_tokens(now) < hard_limit_capacity:
            return False
        if now < self.likely_empty_until:
            return False
        share = self.share if now <= self.expires_at else self.fair_share
        return not plan.rate or self._refilled_tokens(now, share) >= self._initial_tokens

    def spend(self, cost: float) -> None:
        """Take a forwarded request's tokens; a request beyond the quota takes only hard-limit tokens."""
        if 0 < cost <= self.tokens:
            self.tokens -= cost
        self.hard_limit_tokens -= cost

    def begin_attempt(self) -> None:
        """Count an attempt in flight."""
        self.in_flight += 1

    def end_attempt(self) -> None:
        """Stop counting an attempt as in flight."""
        self.in_flight -= 1

    def record_usage(self, units: float, already_reported: float = 0.0) -> None:
        """Add units to the next report, less those that the counter's total already includes."""
        self.unreported_usage = self.unreported_usage + units - already_reported

    def take_unreported_usage(self) -> float:
        """Return the unreported units and reset them to 0, so that each unit is reported once."""
        units = self.unreported_usage
        self.unreported_usage = 0.0
        return units

    def claim_report_timer(self) -> bool:
        """Return whether the caller must set a timer to report usage; at most one is set at a time."""
        has_usage = self.shared_bucket is not None and abs(self.unreported_usage) >= MIN_REPORT_UNITS
        if not has_usage or self.has_report_timer:
            return False
        self.has_report_timer = True
        return True

    def release_report_timer(self) -> None:
        """Allow the next timer for a report, because the last one has fired."""
        self.has_report_timer = False

    def begin_refresh(self, now: float) -> None:
        """Delay the next refresh by the minimum interval, whether or not this one gets a response."""
        self.fresh_until = now + REFRESH_INTERVAL_MS

    def resize(self, now: float, period: int, added_units: float, total: float) -> None:
        """Resize a locally spent lease by a period's total, to which this gateway added `added_units`.

        The total holds the demand at all gateways and the debt carried over. The share follows this gateway's
        fraction of the recent demand, and the local bucket gets that share of what remains of the quota.
        """
        previous_total = self.last_total
        is_same_period = period == self.last_period
        decay = math.exp((self.demand_updated_at - now) / DEMAND_DECAY_MS)
        self.demand_updated_at = now
        self._record_total(now, period, total)
        if is_same_period and total < previous_total - TOTAL_TOLERANCE:
            return  # the counter has lost its totals, so this total does not show the demand
        if is_same_period:
            self.local_demand = self.local_demand * decay + added_units
            self.total_demand = self.total_demand * decay + max(added_units, total - previous_total)
        rate = self.plan.rate
        accrued = max(0.0, rate * (now - period * self.period_ms) / 1000)  # rounding could make it negative
        remaining = accrued - (total - self.plan.burst)
        utilization = min(1.0, self.total_demand * 1000 / DEMAND_DECAY_MS / rate)
        self.share = self.fair_share
        if self.total_demand:
            self.share = 1 - (1 - min(1.0, self.local_demand / self.total_demand)) * utilization
        self.tokens = max(self.tokens, remaining * self.share)
        fresh_ms = remaining / (MAX_SPEND_RATE_MULTIPLE * rate) * 1000
        self.fresh_until = now + max(REFRESH_INTERVAL_MS, fresh_ms)

    def accept_total(self, now: float, period: int, total: float, tolerance: float) -> bool:
        """Record a total of the shared bucket; return False if the previous level must be kept.

        A total that is lower than the previous one of its period by the tolerance or more shows that the
        counter has lost its totals; a level computed from it would grant the complete burst again.
        """
        is_accepted = period != self.last_period or total > self.last_total - tolerance
        self._record_total(now, period, total)
        return is_accepted

    def set_level(self, now: float, bucket: SharedTokenBucket, level: float, cost: float) -> None:
        """Set the shared bucket's level, as read for a request of the given cost."""
        self.tokens = level
        self.share = max(self.fair_share, level / max(bucket.burst, 1e-9))
        self.empty_until = now + bucket.refill_time_ms(cost - level)
        if level < cost:
            fill_ms = bucket.refill_time_ms(bucket.burst)
            self.likely_empty_until = self.empty_until + LIKELY_EMPTY_FILL_TIMES * fill_ms
        self.fresh_until = now + bucket.refill_time_ms(level - cost) / MAX_SPEND_RATE_MULTIPLE

    def _record_total(self, now: float, period: int, total: float) -> None:
        self.expires_at = now + LEASE_MS
        self.last_period = period
        self.last_total = total
