"""Tests of the client-side throttling of counter calls, and of sampled reports while calls are throttled."""

from __future__ import annotations

from gateway.policy.events import Outcome
from tests.support.policy_harness import PolicyHarness, counter_calls_in


def count_counter_calls(harness: PolicyHarness, outcome: Outcome) -> int:
    """Return the number of counter calls in a minute of steady requests; each call ends with `outcome`."""
    call_count = 0
    for _ in range(1200):
        for call in counter_calls_in(harness.request()):
            call_count += 1
            harness.respond_to_counter(call, 2.0, outcome)
        harness.pass_time(50)
    return call_count


def test_refreshes_become_rarer_while_the_counter_rejects_calls_and_recover(harness: PolicyHarness) -> None:
    """The calls of all gateways must not prolong the counter's overload."""
    call_count = count_counter_calls(harness, Outcome.OK)

    call_count_when_overloaded = count_counter_calls(harness, Outcome.QUEUE_FULL)
    count_counter_calls(harness, Outcome.OK)
    count_counter_calls(harness, Outcome.OK)
    call_count_after_recovery = count_counter_calls(harness, Outcome.OK)

    assert 0 < call_count_when_overloaded < call_count * 0.7
    assert call_count_after_recovery >= call_count * 0.8


def test_reports_to_an_overloaded_counter_still_add_up_to_the_demand(harness: PolicyHarness) -> None:
    """Sampled reports must stay unbiased, because a total that is too low enlarges every lease."""
    request_count = 4000
    reported = 0.0

    for _ in range(request_count):
        harness.set_counter_capacity(0.4)
        for call in counter_calls_in(harness.request()):
            reported += call.amount
            harness.respond_to_counter(call, 500.0)
        harness.pass_time(400)

    assert 0.9 * request_count < reported < 1.1 * request_count
