"""Retries, hedged requests, the retry budget and the rules on running a request twice."""

from __future__ import annotations

import math

import pytest

from gateway.policy.actions import CancelAttempt, Fail, Reject
from gateway.policy.events import (
    ClientDisconnected,
    EndpointState,
    Outcome,
)
from gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass
from tests.support.endpoints import create_endpoint
from tests.support.policy_harness import PolicyHarness, attempts_in, only_attempt_in, serve_steadily


@pytest.mark.parametrize("name", ["view", "order", "wipe"])
def test_an_attempt_that_never_ran_is_retried_at_another_backend(name: str) -> None:
    w = PolicyHarness.without_quotas()
    first = only_attempt_in(w.request(name))

    retry = only_attempt_in(w.end_attempt(first, Outcome.CONNECT_ERROR))

    assert retry.backend_id != first.backend_id


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT])
def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected(outcome: Outcome) -> None:
    w = PolicyHarness.without_quotas()
    attempt = only_attempt_in(w.request("wipe"))

    actions = w.end_attempt(attempt, outcome)

    assert actions == [Fail(attempt.request_id)]


def test_a_request_with_a_key_is_retried_inside_its_deduplication_scope() -> None:
    w = PolicyHarness.without_quotas(
        [create_endpoint(1, cell=0), create_endpoint(2, cell=1), create_endpoint(3, cell=0)]
    )
    first = only_attempt_in(w.request("order"))
    same_cell = {1: {3}, 3: {1}, 2: set()}[first.backend_id]

    retries = attempts_in(w.end_attempt(first, Outcome.FAILED))

    assert {retry.backend_id for retry in retries} == same_cell


def test_a_request_with_a_key_is_not_retried_outside_its_deduplication_scope() -> None:
    w = PolicyHarness.without_quotas([create_endpoint(1, cell=0), create_endpoint(2, cell=1)])
    first = only_attempt_in(w.request("order"))

    actions = w.end_attempt(first, Outcome.FAILED)

    assert actions == [Fail(first.request_id)]


def test_a_request_with_a_key_is_not_retried_after_its_deduplication_window() -> None:
    w = PolicyHarness.without_quotas([create_endpoint(1, cell=0), create_endpoint(3, cell=0)])
    w.policy.lifecycle.request_classes["order"] = RequestClass(
        "order", 5000, 9000, 1, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2000
    )
    first = only_attempt_in(w.request("order", remaining_ms=9000))
    w.stall(1990)

    actions = w.end_attempt(first, Outcome.FAILED)

    assert actions == [Fail(first.request_id)]


def test_a_retry_with_a_key_states_until_when_it_may_start() -> None:
    """Danger: its connection may come up only after the backends have forgotten the first one."""
    w = PolicyHarness.without_quotas([create_endpoint(1, cell=0), create_endpoint(3, cell=0)])
    first = only_attempt_in(w.request("order"))
    started_at = w.now
    w.stall(300)

    retry = only_attempt_in(w.end_attempt(first, Outcome.CONNECTION_RESET))

    assert first.start_before == math.inf
    assert started_at + 1_900 < retry.start_before < started_at + 2_000


def test_a_retry_of_an_idempotent_request_may_start_at_any_time() -> None:
    w = PolicyHarness.without_quotas([create_endpoint(1, cell=0), create_endpoint(3, cell=0)])
    first = only_attempt_in(w.request("view"))

    retry = only_attempt_in(w.end_attempt(first, Outcome.CONNECTION_RESET))

    assert first.start_before == math.inf
    assert retry.start_before == math.inf


def test_retries_stop_when_the_budget_is_spent() -> None:
    w = PolicyHarness.without_quotas()
    sent = asked = 0
    for _ in range(300):
        batch = attempts_in(w.request())
        asked += 1
        attempt = 0
        while batch:
            sent += 1
            batch = attempts_in(w.end_attempt(batch[0], Outcome.FAILED, attempt_number=attempt))
            attempt += 1
        w.pass_time(50)
    assert sent <= asked * 1.6 + 10


def test_an_overdue_attempt_is_cancelled_and_retried_once() -> None:
    """Danger: work done twice for every long request, or a silent backend that is waited for to the end."""
    w = PolicyHarness.without_quotas()
    serve_steadily(w, latency_ms=50)
    first = only_attempt_in(w.request(remaining_ms=60_000))
    assert not [a for a in w.pass_time(430) if isinstance(a, CancelAttempt)]
    assert [a for a in w.pass_time(60) if isinstance(a, CancelAttempt)] == [
        CancelAttempt(first.request_id, 0)
    ]
    again = only_attempt_in(w.end_attempt(first, Outcome.CANCELLED))
    assert again.backend_id != first.backend_id


@pytest.mark.parametrize("name", ["view", "order"])
def test_an_overdue_attempt_is_not_cancelled_where_no_retry_may_follow(name: str) -> None:
    """Danger: its answer may be on its way, and the request would be given up for nothing."""
    for lone in (
        PolicyHarness.without_quotas([create_endpoint(1)]),
        PolicyHarness.without_quotas([create_endpoint(1), create_endpoint(2, EndpointState.DRAINING)]),
        PolicyHarness.without_quotas([create_endpoint(1), create_endpoint(2)], max_attempts=1),
    ):
        serve_steadily(lone, latency_ms=50)
        only_attempt_in(lone.request(name))
        assert not [a for a in lone.pass_time(900) if isinstance(a, CancelAttempt | Reject | Fail)]


@pytest.mark.parametrize("duplicate", [True, False])
def test_a_disconnected_client_s_request_is_neither_hedged_nor_retried(duplicate: bool) -> None:
    """Neither a second copy once the first attempt is out for long, nor the next one once that has failed."""
    w = PolicyHarness.without_quotas(
        [create_endpoint(1), create_endpoint(2), create_endpoint(3)], hedging_allowed=duplicate
    )
    stays, leaves = only_attempt_in(w.request()), only_attempt_in(w.request())
    w.deliver(ClientDisconnected(leaves.request_id))
    actions = w.pass_time(900)
    assert [send.request_id for send in attempts_in(actions)] == [stays.request_id] * duplicate
    ends = w.end_attempt(stays, Outcome.FAILED) if not duplicate else []
    actions = [*ends, *w.end_attempt(leaves, Outcome.FAILED), *w.pass_time(3_000)]
    assert all(send.request_id == stays.request_id for send in attempts_in(actions))
    assert duplicate or len(attempts_in(ends)) == 1
