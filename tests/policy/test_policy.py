"""The complete policy with unknown events, extreme settings and no backends."""

from __future__ import annotations

import pytest

from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Event,
    Outcome,
    PeerMessage,
    ResponseStarted,
    TimerFired,
)
from gateway.policy.settings import Plan
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.endpoints import create_endpoint, snapshot
from tests.support.policy_harness import PolicyHarness, failures_in, only_attempt_in
from tests.support.policy_settings import UNSAFE


def test_every_pending_request_is_finished_before_its_deadline(unlimited_harness: PolicyHarness) -> None:
    harness = unlimited_harness
    deadline = harness.now + 3000
    attempt = only_attempt_in(harness.request(UNSAFE.name, remaining_ms=3000))

    harness.pass_time(2960)

    failures = failures_in(harness.actions)
    assert [failure.request_id for failure in failures] == [attempt.request_id]
    failed_at = [at for at, action in harness.timed_actions if action == failures[0]]
    assert failed_at[0] <= deadline
    assert harness.end_attempt(attempt, Outcome.TIMED_OUT) == []


@pytest.mark.parametrize("gateway_set_size", [0, 1, 5000])
@pytest.mark.parametrize("rate", [0.01, 10_000.0])
@pytest.mark.parametrize("gateway_count", [1, 1000])
def test_requests_are_finished_under_extreme_settings(
    gateway_set_size: int, rate: float, gateway_count: int
) -> None:
    harness = PolicyHarness(
        [create_endpoint(1)],
        plans=(Plan("basic", rate=rate, burst=rate),),
        gateway_count=gateway_count,
        gateway_index=gateway_count - 1,
    )

    for remaining_ms in (0, 3000):
        harness.request(gateway_set_size=gateway_set_size, remaining_ms=remaining_ms)
        harness.pass_time(4000)

    assert not harness.policy.requests


def test_requests_are_finished_without_any_backend() -> None:
    harness = PolicyHarness(gateway_count=1000)
    harness.deliver(snapshot())

    harness.request(gateway_set_size=1, remaining_ms=1000)
    harness.pass_time(2000)

    assert not harness.policy.requests


@pytest.mark.parametrize(
    "event",
    [
        AttemptEnded(
            "unknown",
            attempt_number=0,
            backend_id=9,
            outcome=Outcome.OK,
            latency_ms=1,
            request_finished=True,
        ),
        ClientDisconnected("unknown"),
        TimerFired(TimerToken(TimerKind.REQUEST, "unknown")),
        CounterResponse("unknown", Outcome.OK, 1),
        PeerMessage(1, b"\xff\x00"),
        ResponseStarted("unknown", attempt_number=0, backend_id=1),
    ],
    ids=lambda event: type(event).__name__,
)
def test_an_event_of_an_unknown_request_or_call_is_ignored(
    unlimited_harness: PolicyHarness, event: Event
) -> None:
    assert unlimited_harness.deliver(event) == []
    assert only_attempt_in(unlimited_harness.request())


def test_a_request_of_an_unknown_class_and_plan_is_forwarded(unlimited_harness: PolicyHarness) -> None:
    assert only_attempt_in(unlimited_harness.request("no such class", "no such plan"))


def test_the_end_of_a_disconnected_client_s_attempt_has_no_consequence(
    unlimited_harness: PolicyHarness,
) -> None:
    harness = unlimited_harness
    attempt = only_attempt_in(harness.request("no such class", "no such plan"))
    harness.deliver(ClientDisconnected(attempt.request_id))

    assert harness.end_attempt(attempt, Outcome.TIMED_OUT) == []
    assert harness.end_attempt(attempt, Outcome.TIMED_OUT) == [], (
        "the end of an attempt may be reported twice"
    )
