"""The calls to the counter: leases are refreshed, the shared bucket is read, and usage is reported.

A counter that fails calls or answers too late is spared by leaving out those calls that tell the least.
"""

import math
import random
from collections import deque

from .actions import Actions, IncrementCounter, SetTimer
from .counter_calls import CounterCall, CounterReply
from .events import NOT_PROCESSED, CounterResponse, Outcome
from .leases import REFRESH_INTERVAL_MS, TOTAL_TOLERANCE, Lease
from .requests import PendingRequest
from .settings import Settings
from .shared_bucket import MEMORY_MS, SharedTokenBucket
from .timers import TimerKind, TimerToken

DECIMALS = 3  # of a unit that a call tells
MIN_REPORT = 0.01  # of a unit: less is rounding, and not reported
MAX_DEVIATION = 0.5  # of the burst, or of a correction: a shared total that is wrong by more is put right
LIKELY_GRANTED = 0.2  # power of the counter's capacity with which a call is made that is likely granted ...
LIKELY_DENIED = 4.0  # ... one that is likely beyond it ...
COSTS_NOTHING = 6.0  # ... and one whose plan loses nothing beyond the quota
CAPACITY_STEP = 0.005  # what a successful call adds to the estimated capacity ...
CAPACITY_CUT = 0.9  # ... and a failed one leaves of it ...
MIN_CAPACITY = 0.1  # ... which never falls below this
MAX_FOR_OTHERS = 2.0  # parts of a burst: a report speaks for no more for others, which would be noise


class UsageReporter:
    """Calls the counter, as often as its estimated capacity allows."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.calls: dict[str, deque[CounterCall]] = {}  # by the counter's name, the oldest first
        self.capacity = 1.0  # part of the calls that the counter has capacity for
        self.timely_capacity = 1.0  # likewise, where it answers too late

    def refresh_lease(self, now: float, request: PendingRequest, out: Actions) -> None:
        """Add the units asked for since the last call, rejected ones too, and so learn of all gateways'."""
        lease = request.lease
        lease.unreported_usage += request.cost
        if now < lease.fresh_until or not self.settings.counter_available or not lease.plan.rate:
            return
        units = lease.unreported_usage / self.capacity
        lease.unreported_usage = 0.0
        if self.rng.random() > self.capacity:
            return  # crowded: those that do call add for this one too, so that totals stay true
        lease.fresh_until = now + REFRESH_INTERVAL_MS
        self._call(lease, CounterCall(lease.key, int(now // lease.period_ms), round(units, DECIMALS)), out)

    def read_bucket(self, now: float, request: PendingRequest, out: Actions) -> bool:
        """Read the shared bucket for a request that needs it and waits for the response (true).

        The call spends the tokens at once, and a rejection gives them back: two gateways that call together
        don't both get the last token. Where a rejection is likely, the call only reads.

        Danger: a crowded counter has no capacity for all, and a customer far past its quota asks most. Where
        being wrong costs nothing the lease decides unread; what is likely rejected is rejected unread, and
        the bucket fills for the few that do call. Few calls are left out where nothing speaks against one.
        """
        lease = request.lease
        bucket = lease.shared_bucket
        if bucket is None or not self.settings.counter_available or now < lease.empty_until:
            return False
        if now < lease.fresh_until and lease.tokens >= request.cost:
            return False  # no other gateway can have spent all of it since it was read
        is_doubtful = now < lease.likely_empty_until or request.is_retry
        costs_nothing = lease.plan.over_quota_cost <= lease.plan.over_quota_revenue
        eagerness = LIKELY_DENIED if is_doubtful else LIKELY_GRANTED
        if not self._has_capacity(COSTS_NOTHING if costs_nothing else eagerness):
            if costs_nothing and now >= lease.likely_empty_until:
                request.assumed_shortfall = 0.0
            elif is_doubtful and not costs_nothing:
                request.assumed_shortfall = request.cost
            return False
        request.reported_cost = 0.0 if is_doubtful else request.cost
        units = round(lease.unreported_usage + request.reported_cost, DECIMALS)
        lease.unreported_usage = 0.0
        self._call(lease, CounterCall(lease.key, bucket.period(now), units, request.id), out)
        request.schedule_check(now, now + 2 * self.settings.counter_timeout_ms, out)
        return True

    def charge(self, request: PendingRequest, shortfall: float, out: Actions) -> None:
        """Report a forwarded request's cost to the shared bucket; one beyond the quota spends nothing."""
        spent = request.cost if shortfall <= 0 else 0.0
        lease = request.lease
        lease.unreported_usage = lease.unreported_usage + spent - request.reported_cost
        request.reported_cost = spent
        self._schedule_report(lease, out)

    def give_back(self, request: PendingRequest, out: Actions) -> None:
        """Take back what was reported of a request that ends without having been forwarded."""
        if request.reported_cost and not request.attempt_count:
            request.lease.unreported_usage -= request.reported_cost
            request.reported_cost = 0.0
            self._schedule_report(request.lease, out)

    def report(self, now: float, lease: Lease, bucket: SharedTokenBucket, out: Actions) -> None:
        """Add what was spent without being reported, or take off what was reported and not spent.

        To a crowded counter some report for the others too: that leaves capacity for those that ask.
        """
        units = lease.unreported_usage
        lease.unreported_usage = 0.0
        least_part = min(1.0, MAX_FOR_OTHERS / max(bucket.burst, MAX_FOR_OTHERS))
        part = max(self.capacity * self.timely_capacity, least_part)
        if abs(units) >= MIN_REPORT and self.rng.random() <= part:
            self._call(lease, CounterCall(lease.key, bucket.period(now), round(units / part, DECIMALS)), out)

    def on_report_timer(self, now: float, lease: Lease, out: Actions) -> None:
        """Report a customer's usage, if no call has done so."""
        bucket = lease.shared_bucket
        if bucket is None:
            return
        lease.has_report_timer = False
        if lease.plan.over_quota_cost > lease.plan.over_quota_revenue or self._has_capacity(COSTS_NOTHING):
            self.report(now, lease, bucket, out)

    def take_call(self, event: CounterResponse) -> CounterCall | None:
        """The call that a response belongs to; its outcome tells of the counter's capacity.

        Danger: a crowded counter fails everybody's calls, and their number keeps it crowded.
        """
        waiting = self.calls.get(event.name)
        if not waiting:
            return None
        call = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        if event.outcome is Outcome.OK:
            self.capacity = min(1.0, self.capacity + CAPACITY_STEP)
            self.timely_capacity = min(1.0, self.timely_capacity + CAPACITY_STEP)
            return call
        self.capacity = max(MIN_CAPACITY, self.capacity * CAPACITY_CUT)
        if event.outcome is Outcome.TIMED_OUT:
            self.timely_capacity = max(MIN_CAPACITY, self.timely_capacity * CAPACITY_CUT)
        return call

    def on_reply(self, reply: CounterReply, out: Actions) -> bool:
        """Take in a reply; true if the request that waits for it can be decided now."""
        _, call, event, lease, request = reply
        is_ok = event.outcome is Outcome.OK
        if event.outcome in NOT_PROCESSED:  # a call that timed out may have been added
            lease.unreported_usage += call.amount
            if request:
                lease.unreported_usage -= request.reported_cost
                request.reported_cost = 0.0
        if lease.shared_bucket is None:
            if is_ok:
                self._resize_lease(reply, out)
            return False
        if is_ok and call.expected_total:
            if (event.total - call.expected_total) / call.amount > MAX_DEVIATION:
                # Another gateway has corrected the total, too.
                self._call(lease, CounterCall(call.customer, call.period, round(-call.amount, DECIMALS)), out)
            return False
        return not is_ok or self._take_level(reply, lease.shared_bucket, out)

    def _take_level(self, reply: CounterReply, bucket: SharedTokenBucket, out: Actions) -> bool:
        """Take the shared bucket's level for the lease; false if the period before has to be read first."""
        now, call, event, _, request = reply
        if request is None:
            return False
        lease = request.lease
        period = call.period
        total = event.total
        if call.is_previous_period:
            period += 1
            owed = bucket.owed(total)
            if owed > 0:
                self._call(lease, CounterCall(lease.key, period, round(owed, DECIMALS)), out)
            total = owed + request.reported_cost
        elif total <= call.amount + TOTAL_TOLERANCE and self.rng.random() <= self.capacity:
            call = CounterCall(lease.key, period - 1, 0.0, request.id, is_previous_period=True)
            self._call(lease, call, out)
            return False
        if lease.accept_total(now, period, total, max(bucket.burst, request.cost)):
            unbounded_level = bucket.level(now, period, total - request.reported_cost)
            level = max(0.0, min(unbounded_level, bucket.burst))
            is_wrong = abs(unbounded_level - level) > MAX_DEVIATION * bucket.burst
            if is_wrong and self.rng.random() <= self.capacity:
                surplus = round(unbounded_level - level, DECIMALS)
                corrected_total = total + unbounded_level - level
                self._call(lease, CounterCall(lease.key, period, surplus, "", False, corrected_total), out)
            lease.set_level(now, bucket, level, request.cost)
        return True

    def _resize_lease(self, reply: CounterReply, out: Actions) -> None:
        """Size a lease; who adds first in a period carries over what the one before left unpaid."""
        now, call, event, lease, _ = reply
        period = call.period
        total = event.total
        if call.amount and total <= call.amount + TOTAL_TOLERANCE and self.rng.random() <= self.capacity:
            self._call(lease, CounterCall(lease.key, period - 1, 0.0), out)
            return
        if not call.amount:
            period += 1
            owed = min(lease.plan.burst, total - lease.plan.rate * lease.period_ms / 1000)
            if owed > 0:
                self._call(lease, CounterCall(lease.key, period, round(owed, DECIMALS)), out)
                return
            total = 0.0
        lease.resize(now, period, call.amount, total)

    def _schedule_report(self, lease: Lease, out: Actions) -> None:
        """Report with the next call, or by a timer if none comes."""
        has_usage = lease.shared_bucket and abs(lease.unreported_usage) >= MIN_REPORT
        if has_usage and self.settings.counter_available and not lease.has_report_timer:
            lease.has_report_timer = True
            out.append(SetTimer(REFRESH_INTERVAL_MS, TimerToken(TimerKind.USAGE_REPORT, lease.key)))

    def _has_capacity(self, eagerness: float) -> bool:
        """Whether a crowded counter is to be called even so."""
        return self.rng.random() <= math.pow(self.capacity, eagerness) * self.timely_capacity

    def _call(self, lease: Lease, call: CounterCall, out: Actions) -> None:
        name = f"{call.period}:{lease.counter_key}"
        memory_ms = MEMORY_MS if lease.shared_bucket else 4 * lease.period_ms
        self.calls.setdefault(name, deque()).append(call)
        out.append(IncrementCounter(name, call.amount, memory_ms))
