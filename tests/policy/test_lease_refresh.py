"""Tests of the refresh of locally spent leases: what is reported, and how a total resizes a lease."""

from __future__ import annotations

import itertools

import pytest

from gateway.policy.actions import IncrementCounter
from gateway.policy.events import Outcome
from gateway.policy.leases import REFRESH_INTERVAL_MS
from tests.support.policy_harness import (
    PolicyHarness,
    TimedAction,
    counter_calls_in,
    only_counter_call_in,
)


def refresh_for_five_seconds(harness: PolicyHarness) -> list[TimedAction]:
    """Send a hundred requests and answer their counter calls with totals far beyond the quota.

    Return the calls.
    """
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

    for _ in range(60):  # 10 requests a second here, 40 at all gateways, far beyond the quota of 2
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


def test_a_counter_that_lost_its_totals_does_not_change_the_lease(harness: PolicyHarness) -> None:
    """A total that drops during its period does not show low demand: the lease is kept until a new period."""
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
    """Because of rounding, the start of a period may be just after the current time."""
    harness.request()
    lease = harness.lease()

    lease.resize(12_000 - 1e-9, 3, 1.0, 8.0)

    assert lease.tokens >= 0


def test_the_first_call_of_a_period_carries_over_the_debt_of_the_previous_one(harness: PolicyHarness) -> None:
    first_call = only_counter_call_in(harness.request())

    harness.respond_to_counter(first_call, first_call.amount)

    read_of_previous = harness.timed_actions[-1].action
    assert isinstance(read_of_previous, IncrementCounter)
    assert read_of_previous.amount == 0
    assert read_of_previous.name != first_call.name

    harness.respond_to_counter(read_of_previous, 11.0)  # 8 units accrued in that period

    carry_over = harness.timed_actions[-1].action
    assert isinstance(carry_over, IncrementCounter)
    assert carry_over.amount == 3
    assert carry_over.name == first_call.name


@pytest.mark.parametrize(
    ("outcome", "next_amount"),
    [
        pytest.param(Outcome.TIMED_OUT, 1.0, id="not after a timeout, as the call may have been counted"),
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
