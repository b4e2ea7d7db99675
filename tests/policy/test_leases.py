"""Tests of leases that are spent locally, and of limits that are split among a customer's gateways."""

from __future__ import annotations

from gateway.policy.events import Outcome
from gateway.policy.leases import LEASE_MS
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    counter_calls_in,
    only_counter_call_in,
    rejections_in,
)
from tests.support.policy_settings import BASIC, HARD_LIMITED, WITH_OVER_QUOTA_REVENUE


def count_forwarded(
    harness: PolicyHarness, request_count: int, *, pause_ms: float = 0.0, plan: str = BASIC.name
) -> int:
    """Send requests, each of which is answered at once; return how many are forwarded."""
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
    """If the bucket were full after each restart, a gateway could spend the hard limit's burst twice."""
    assert not attempts_in(harness.request(plan=HARD_LIMITED.name))

    harness.pass_time(1000)
    forwarded = count_forwarded(harness, 100, plan=HARD_LIMITED.name)

    assert forwarded == HARD_LIMITED.hard_limit_rate / 2


def test_attempts_in_flight_stay_within_this_gateway_s_share_of_the_concurrency_limit(
    harness: PolicyHarness,
) -> None:
    harness.pass_time(10_000)

    attempts = [
        attempt for _ in range(20) for attempt in attempts_in(harness.request(plan=HARD_LIMITED.name))
    ]

    assert len(attempts) == HARD_LIMITED.concurrency_limit / 2


def test_requests_beyond_the_quota_are_forwarded_where_they_earn_revenue_and_capacity_is_spare() -> None:
    harness = PolicyHarness(counter_available=False)

    forwarded = count_forwarded(harness, 30, pause_ms=1, plan=WITH_OVER_QUOTA_REVENUE.name)

    assert forwarded == 30


def test_requests_beyond_the_quota_are_rejected_while_capacity_is_scarce() -> None:
    harness = PolicyHarness(counter_available=False)
    for number in range(60):
        harness.request(customer=f"customer {number}")
    harness.set_response_rate(20.0)  # the 60 requests in flight take three seconds to be answered

    forwarded = count_forwarded(harness, 30, plan=WITH_OVER_QUOTA_REVENUE.name)

    assert forwarded <= 2
