"""Leases, the shared token bucket and the calls to the counter."""

from __future__ import annotations

import itertools

import pytest

from gateway.policy.actions import IncrementCounter, StartAttempt
from gateway.policy.events import Outcome
from gateway.policy.leases import LEASE_MS, REFRESH_INTERVAL_MS
from tests.support.policy_harness import (
    PolicyHarness,
    TimedAction,
    attempts_in,
    counter_calls_in,
    only_counter_call_in,
    rejections_in,
)
from tests.support.policy_settings import BASIC, BONUS, FIRM

SPARSE_SET_SIZE = 100
"""Gateways of a set over which the burst of 8 is too thin to be spent locally."""


def count_forwarded(
    harness: PolicyHarness, request_count: int, *, pause_ms: float = 0.0, plan: str = BASIC.name
) -> int:
    """The number of requests forwarded of so many that arrive, each of which is answered at once."""
    forwarded = 0
    for _ in range(request_count):
        for attempt in attempts_in(harness.request(plan=plan)):
            forwarded += 1
            harness.end_attempt(attempt)
        harness.pass_time(pause_ms)
    return forwarded


def test_a_new_lease_holds_its_fair_share_of_the_burst(harness: PolicyHarness) -> None:
    forwarded = count_forwarded(harness, 20)

    assert forwarded == BASIC.burst / 2


def test_a_request_beyond_the_quota_is_rejected_at_once_with_a_retry_after(harness: PolicyHarness) -> None:
    count_forwarded(harness, 4)

    (rejection,) = rejections_in(harness.request())

    assert 0 < rejection.retry_after_ms <= 500


def test_the_local_bucket_refills_at_the_fair_share_of_the_rate() -> None:
    harness = PolicyHarness(counter_available=False)
    count_forwarded(harness, 10)

    forwarded = count_forwarded(harness, 100, pause_ms=100)

    assert forwarded in (9, 10, 11), "one a second for ten seconds"


def refresh_for_five_seconds(harness: PolicyHarness) -> list[TimedAction]:
    """The counter calls of a hundred requests, each answered with a total far beyond the quota."""
    calls = []
    for _ in range(100):
        for call in counter_calls_in(harness.request()):
            harness.respond_to_counter(call, 100.0)
            calls.append(TimedAction(harness.now, call))
        harness.pass_time(50)
    return calls


def test_refreshes_report_all_demand_including_rejected_requests(harness: PolicyHarness) -> None:
    calls = refresh_for_five_seconds(harness)

    reported = sum(call.amount for call in counter_calls_in(call for _, call in calls))
    assert reported + harness.lease().unreported_usage == 100


def test_refreshes_of_a_lease_keep_their_least_interval(harness: PolicyHarness) -> None:
    calls = refresh_for_five_seconds(harness)

    intervals = [later.at - earlier.at for earlier, later in itertools.pairwise(calls)]
    assert intervals
    assert all(interval >= REFRESH_INTERVAL_MS for interval in intervals)


def test_totals_on_the_counter_expire_within_a_minute(harness: PolicyHarness) -> None:
    calls = refresh_for_five_seconds(harness)

    assert calls
    assert all(call.expires_in_ms <= 60_000 for call in counter_calls_in(call for _, call in calls))


def test_a_lease_is_this_gateway_s_share_of_the_fleet_s_demand(harness: PolicyHarness) -> None:
    total_at_period_start = 50.0
    total = total_at_period_start

    for _ in range(60):  # ten a second here, forty at all gateways: far beyond the quota of two
        for call in counter_calls_in(harness.request()):
            total += 4 * call.amount
            harness.respond_to_counter(call, total)
        harness.pass_time(100)
        if harness.now % 4000 <= 100:
            total = total_at_period_start

    assert 0.2 < harness.lease().share < 0.3


def test_a_gateway_with_all_the_demand_holds_the_complete_quota(harness: PolicyHarness) -> None:
    total = 0.0
    period = ""

    for _ in range(60):
        for call in counter_calls_in(harness.request()):
            if call.amount:
                call_period = call.name.split(":")[0]
                total_before = total if call_period == period else 2.0
                total = call.amount + total_before
                period = call_period
            harness.respond_to_counter(call, total)
        harness.pass_time(100)

    assert harness.lease().share > 0.95


def test_an_expired_lease_reverts_to_the_fair_share(harness: PolicyHarness) -> None:
    call = only_counter_call_in(harness.request())
    harness.respond_to_counter(call, 3.0)
    lease = harness.lease()
    lease.share = 0.9

    for _ in range(int(LEASE_MS // 1000)):
        for call in counter_calls_in(harness.request()):
            harness.respond_to_counter(call, 0, Outcome.TIMED_OUT)
        assert lease.share == 0.9, "failed refreshes leave the lease until it expires"
        harness.pass_time(1000)
    harness.pass_time(500)
    harness.request()

    assert lease.share == 0.5


def test_a_counter_that_lost_its_totals_does_not_change_the_lease(harness: PolicyHarness) -> None:
    """A total that fell within its period is no sign of low demand: the lease stands until a new period."""
    call = only_counter_call_in(harness.request())
    harness.respond_to_counter(call, 30.0)
    lease = harness.lease()
    lease.share = 0.25
    lease.tokens = 0.0
    harness.pass_time(600)
    call = only_counter_call_in(harness.request())

    harness.respond_to_counter(call, call.amount + 1)

    assert lease.share == 0.25
    assert lease.tokens <= 0.5


def test_a_total_read_just_before_its_period_starts_leaves_no_negative_tokens(harness: PolicyHarness) -> None:
    """Rounding may place the start of a period just after the present time."""
    harness.request()
    lease = harness.lease()

    lease.resize(12_000 - 1e-9, 3, 1.0, 8.0)

    assert lease.tokens >= 0


def test_the_first_call_of_a_period_carries_over_the_debt_of_the_previous_one(harness: PolicyHarness) -> None:
    first_call = only_counter_call_in(harness.request())

    harness.respond_to_counter(first_call, first_call.amount)

    read_of_previous = harness.log[-1].action
    assert isinstance(read_of_previous, IncrementCounter)
    assert read_of_previous.amount == 0
    assert read_of_previous.name != first_call.name

    harness.respond_to_counter(read_of_previous, 11.0)  # 8 units were earned in that period

    carry_over = harness.log[-1].action
    assert isinstance(carry_over, IncrementCounter)
    assert carry_over.amount == 3
    assert carry_over.name == first_call.name


@pytest.mark.parametrize(
    ("outcome", "next_amount"),
    [
        pytest.param(Outcome.TIMED_OUT, 1.0, id="not after a time-out, which may have been counted"),
        pytest.param(Outcome.QUEUE_FULL, 2.0, id="after a rejection"),
    ],
)
def test_usage_of_a_failed_call_is_reported_again_unless_it_may_have_been_counted(
    harness: PolicyHarness, outcome: Outcome, next_amount: float
) -> None:
    call = only_counter_call_in(harness.request())
    harness.respond_to_counter(call, 0, outcome)
    harness.set_counter_capacity(1.0)
    harness.pass_time(600)

    next_call = only_counter_call_in(harness.request())

    assert next_call.amount == next_amount


def test_reports_to_an_overloaded_counter_still_add_up_to_the_demand(harness: PolicyHarness) -> None:
    """Sampled reporting must stay unbiased: a total that is too low enlarges every lease."""
    request_count = 4000
    reported = 0.0

    for _ in range(request_count):
        harness.set_counter_capacity(0.4)
        for call in counter_calls_in(harness.request()):
            reported += call.amount
            harness.respond_to_counter(call, 500.0)
        harness.pass_time(400)

    assert 0.9 * request_count < reported < 1.1 * request_count


@pytest.mark.parametrize(
    ("total", "attempt_count", "rejection_count"),
    [pytest.param(5.0, 1, 0, id="tokens are left"), pytest.param(1e9, 0, 1, id="the bucket is empty")],
)
def test_a_request_on_a_sparse_lease_waits_for_the_shared_bucket(
    harness: PolicyHarness, total: float, attempt_count: int, rejection_count: int
) -> None:
    """Local buckets of one unit at each of a hundred gateways would admit a hundred units in all."""
    actions = harness.request(gateway_set_size=SPARSE_SET_SIZE)
    call = only_counter_call_in(actions)
    assert not attempts_in(actions)
    assert not rejections_in(actions)

    harness.respond_to_counter(call, total)

    assert len(attempts_in(harness.actions)) == attempt_count
    assert len(rejections_in(harness.actions)) == rejection_count


def test_a_request_is_admitted_if_the_counter_does_not_respond(harness: PolicyHarness) -> None:
    harness.request(gateway_set_size=SPARSE_SET_SIZE)

    actions = harness.pass_time(200)

    assert len(attempts_in(actions)) == 1


def serve_at_shared_counter(harness: PolicyHarness, customer: str, totals: dict[str, float]) -> int:
    """Serve a request to its end, with a counter that responds at once; returns the attempts it took."""
    attempt_count = 0
    pending = harness.request(customer=customer, gateway_set_size=120)
    while pending:
        action = pending.pop(0)
        if isinstance(action, IncrementCounter):
            totals[action.name] = totals.get(action.name, 0.0) + action.amount
            pending += harness.respond_to_counter(action, totals[action.name])
        elif isinstance(action, StartAttempt):
            attempt_count += 1
            pending += harness.end_attempt(action)
    return attempt_count


def test_many_gateways_hold_a_flooding_customer_to_its_quota_and_admit_a_calm_one() -> None:
    """With hundreds of gateways the fair share of a burst is less than one request."""
    harnesses = [PolicyHarness(seed=index, gateway_count=120, gateway_index=index) for index in range(120)]
    start = harnesses[0].now
    totals: dict[str, float] = {}
    calm_forwarded = 0
    flood_forwarded = 0

    for step in range(600):  # one minute: ten requests a second against a quota of two, and one a second
        harness = harnesses[step * 37 % 120]
        harness.pass_time(start + step * 100 - harness.now)
        flood_forwarded += serve_at_shared_counter(harness, "flood", totals)
        if step % 10 == 0:
            calm_forwarded += serve_at_shared_counter(harness, "calm", totals)

    assert calm_forwarded == 60
    assert 0.6 * 120 < flood_forwarded < 1.3 * 128, "two a second for a minute and a burst of eight"


def test_idle_customers_are_forgotten(harness: PolicyHarness) -> None:
    for number in range(500):
        for attempt in attempts_in(harness.request(customer=f"once{number}")):
            harness.end_attempt(attempt)
    harness.pass_time(3 * LEASE_MS)

    harness.request()

    assert len(harness.policy.leases.by_customer) == 1


def test_a_response_for_a_forgotten_customer_is_ignored(harness: PolicyHarness) -> None:
    actions = [action for _ in range(5) for action in harness.request()]
    call = counter_calls_in(actions)[0]
    harness.policy.leases.by_customer.clear()

    harness.respond_to_counter(call, 5.0)
    harness.respond_to_counter(call, 5.0)


def test_a_customer_without_a_plan_has_no_quota() -> None:
    harness = PolicyHarness(plans=(), counter_available=False)

    forwarded = count_forwarded(harness, 50, pause_ms=10)

    assert forwarded == 50


def test_a_hard_limit_is_split_evenly_and_starts_empty(harness: PolicyHarness) -> None:
    """A full bucket after each restart would let a gateway spend the hard limit's burst twice."""
    assert not attempts_in(harness.request(plan=FIRM.name))

    harness.pass_time(1000)
    forwarded = count_forwarded(harness, 100, plan=FIRM.name)

    assert forwarded == FIRM.hard_limit_rate / 2


def test_attempts_in_flight_stay_within_this_gateway_s_share_of_the_concurrency_limit(
    harness: PolicyHarness,
) -> None:
    harness.pass_time(10_000)

    attempts = [attempt for _ in range(20) for attempt in attempts_in(harness.request(plan=FIRM.name))]

    assert len(attempts) == FIRM.concurrency_limit / 2


def test_requests_beyond_the_quota_are_forwarded_where_they_earn_and_capacity_is_spare() -> None:
    harness = PolicyHarness(counter_available=False)

    forwarded = count_forwarded(harness, 30, pause_ms=1, plan=BONUS.name)

    assert forwarded == 30


def test_requests_beyond_the_quota_are_rejected_while_capacity_is_scarce() -> None:
    harness = PolicyHarness(counter_available=False)
    for number in range(60):
        harness.request(customer=f"customer {number}")
    harness.set_response_rate(20.0)  # three seconds' responses are in flight

    forwarded = count_forwarded(harness, 30, plan=BONUS.name)

    assert forwarded <= 2


def count_counter_calls(harness: PolicyHarness, outcome: Outcome) -> int:
    """Calls to the counter during a minute of steady requests, each of which ends with the outcome."""
    call_count = 0
    for _ in range(1200):
        for call in counter_calls_in(harness.request()):
            call_count += 1
            harness.respond_to_counter(call, 2.0, outcome)
        harness.pass_time(50)
    return call_count


def test_refreshes_become_rarer_while_the_counter_rejects_calls_and_recover(harness: PolicyHarness) -> None:
    """Client-side throttling: the calls of all gateways must not prolong the counter's overload."""
    call_count = count_counter_calls(harness, Outcome.OK)

    call_count_when_overloaded = count_counter_calls(harness, Outcome.QUEUE_FULL)
    count_counter_calls(harness, Outcome.OK)
    count_counter_calls(harness, Outcome.OK)
    call_count_after_recovery = count_counter_calls(harness, Outcome.OK)

    assert 0 < call_count_when_overloaded < call_count * 0.7
    assert call_count_after_recovery >= call_count * 0.8


def count_reads_after_empty(idle_ms: float) -> int:
    """How many of forty policies read a bucket again, so long after it was read as empty.

    The burst of 8 units at two a second takes four seconds to fill.
    """
    read_count = 0
    for seed in range(40):
        harness = PolicyHarness(seed=seed)
        call = only_counter_call_in(harness.request(gateway_set_size=SPARSE_SET_SIZE))
        harness.respond_to_counter(call, 1e3)
        harness.set_counter_capacity(0.1)
        harness.pass_time(idle_ms)
        read_count += len(counter_calls_in(harness.request(gateway_set_size=SPARSE_SET_SIZE)))
    return read_count


def test_an_emptied_bucket_is_rarely_read_from_an_overloaded_counter_while_likely_short() -> None:
    assert count_reads_after_empty(idle_ms=5_000) <= 2


def test_an_emptied_bucket_is_read_again_once_it_can_be_full() -> None:
    """After one burst, a customer must not be rejected unread for as long as the counter is overloaded."""
    assert count_reads_after_empty(idle_ms=12_000) >= 15


def test_a_plan_that_loses_nothing_beyond_its_quota_is_served_without_a_counter_call(
    harness: PolicyHarness,
) -> None:
    """Such a call would load the counter without a gain; without a default the customer would be rejected."""
    call_count = 0
    forwarded = 0
    for _ in range(20):  # in flight, so that capacity is neither spare nor scarce
        harness.request(plan="none", customer="other")
    harness.set_response_rate(100.0)

    for _ in range(20):
        harness.set_counter_capacity(0.1)
        actions = harness.request(plan=BONUS.name, gateway_set_size=SPARSE_SET_SIZE)
        call_count += len(counter_calls_in(actions))
        forwarded += len(attempts_in(actions))

    assert call_count <= 2
    assert forwarded >= 18
