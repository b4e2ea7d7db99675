"""Retries, hedged requests, the retry budget, and the rules on when a request may run twice."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from gateway.policy.actions import CancelAttempt, Fail
from gateway.policy.events import ClientDisconnected, Endpoint, Outcome
from tests.support.endpoints import DRAINING, create_endpoint
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    cancellations_in,
    failures_in,
    only_attempt_in,
    rejections_in,
    serve_steadily,
)
from tests.support.policy_settings import IDEMPOTENT, UNSAFE, WITH_KEY

TWO_BACKENDS_OF_ONE_CELL = [create_endpoint(1, cell=0), create_endpoint(3, cell=0)]


@pytest.fixture
def one_cell_harness() -> PolicyHarness:
    """A policy with two backends in one cell, and without quotas."""
    return PolicyHarness.without_quotas(TWO_BACKENDS_OF_ONE_CELL)


@pytest.mark.parametrize("request_class", [IDEMPOTENT.name, WITH_KEY.name, UNSAFE.name])
def test_an_attempt_that_never_ran_is_retried_at_another_backend(
    unlimited_harness: PolicyHarness, request_class: str
) -> None:
    first = only_attempt_in(unlimited_harness.request(request_class))

    retry = only_attempt_in(unlimited_harness.end_attempt(first, Outcome.CONNECT_ERROR))

    assert retry.backend_id != first.backend_id


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT])
def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected(
    unlimited_harness: PolicyHarness, outcome: Outcome
) -> None:
    attempt = only_attempt_in(unlimited_harness.request(UNSAFE.name))

    actions = unlimited_harness.end_attempt(attempt, outcome)

    assert actions == [Fail(attempt.request_id)]


def test_a_request_with_a_key_is_retried_inside_its_deduplication_scope() -> None:
    harness = PolicyHarness.without_quotas(
        [create_endpoint(1, cell=0), create_endpoint(2, cell=1), create_endpoint(3, cell=0)]
    )
    first = only_attempt_in(harness.request(WITH_KEY.name))
    others_of_its_cell = {1: {3}, 3: {1}, 2: set()}[first.backend_id]

    retries = attempts_in(harness.end_attempt(first, Outcome.FAILED))

    assert {retry.backend_id for retry in retries} == others_of_its_cell


def test_a_request_with_a_key_is_not_retried_outside_its_deduplication_scope() -> None:
    harness = PolicyHarness.without_quotas([create_endpoint(1, cell=0), create_endpoint(2, cell=1)])
    first = only_attempt_in(harness.request(WITH_KEY.name))

    actions = harness.end_attempt(first, Outcome.FAILED)

    assert actions == [Fail(first.request_id)]


def test_a_request_with_a_key_is_not_retried_after_its_deduplication_window() -> None:
    long_running = replace(WITH_KEY, latency_objective_ms=5000, deadline_ms=9000, priority_weight=1)
    harness = PolicyHarness.without_quotas(TWO_BACKENDS_OF_ONE_CELL, request_classes=(long_running,))
    first = only_attempt_in(harness.request(long_running.name, remaining_ms=9000))
    harness.stall(1990)

    actions = harness.end_attempt(first, Outcome.FAILED)

    assert actions == [Fail(first.request_id)]


def test_a_retry_with_a_key_states_until_when_it_may_start(one_cell_harness: PolicyHarness) -> None:
    """The connection may be established only after backends have forgotten the key of the first attempt."""
    first = only_attempt_in(one_cell_harness.request(WITH_KEY.name))
    started_at = one_cell_harness.now
    one_cell_harness.stall(300)

    retry = only_attempt_in(one_cell_harness.end_attempt(first, Outcome.CONNECTION_RESET))

    assert first.start_before == math.inf
    assert started_at + 1_900 < retry.start_before < started_at + 2_000


def test_a_retry_of_an_idempotent_request_may_start_at_any_time(one_cell_harness: PolicyHarness) -> None:
    first = only_attempt_in(one_cell_harness.request(IDEMPOTENT.name))

    retry = only_attempt_in(one_cell_harness.end_attempt(first, Outcome.CONNECTION_RESET))

    assert first.start_before == math.inf
    assert retry.start_before == math.inf


def test_retries_stop_when_the_budget_is_spent(unlimited_harness: PolicyHarness) -> None:
    harness = unlimited_harness
    request_count = 300
    attempt_count = 0

    for _ in range(request_count):
        attempts = attempts_in(harness.request())
        attempt_number = 0
        while attempts:
            attempt_count += 1
            actions = harness.end_attempt(attempts[0], Outcome.FAILED, attempt_number=attempt_number)
            attempts = attempts_in(actions)
            attempt_number += 1
        harness.pass_time(50)

    assert attempt_count <= request_count * 1.6 + 10


def test_an_overdue_attempt_is_cancelled_and_retried_once(unlimited_harness: PolicyHarness) -> None:
    """If cancelled too early, long requests are processed twice; if too late, a hung backend delays them."""
    harness = unlimited_harness
    serve_steadily(harness, latency_ms=50)
    first = only_attempt_in(harness.request(remaining_ms=60_000))

    assert not cancellations_in(harness.pass_time(430))
    assert cancellations_in(harness.pass_time(60)) == [CancelAttempt(first.request_id, 0)]
    retry = only_attempt_in(harness.end_attempt(first, Outcome.CANCELLED))
    assert retry.backend_id != first.backend_id


@pytest.mark.parametrize(
    ("endpoints", "max_attempts"),
    [
        pytest.param([create_endpoint(1)], 3, id="no other backend"),
        pytest.param([create_endpoint(1), create_endpoint(2, DRAINING)], 3, id="the other backend drains"),
        pytest.param([create_endpoint(1), create_endpoint(2)], 1, id="no attempts left"),
    ],
)
@pytest.mark.parametrize("request_class", [IDEMPOTENT.name, WITH_KEY.name])
def test_an_overdue_attempt_is_not_cancelled_where_no_retry_may_follow(
    endpoints: list[Endpoint], max_attempts: int, request_class: str
) -> None:
    """The response may still arrive, while a cancelled attempt without a retry means a failed request."""
    harness = PolicyHarness.without_quotas(endpoints, max_attempts=max_attempts)
    serve_steadily(harness, latency_ms=50)
    only_attempt_in(harness.request(request_class))

    actions = harness.pass_time(900)

    assert not cancellations_in(actions)
    assert not rejections_in(actions)
    assert not failures_in(actions)


@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_a_disconnected_client_s_request_is_neither_hedged_nor_retried(hedging_allowed: bool) -> None:
    """A long attempt of the request must not lead to a hedge, nor its failure to a retry."""
    harness = PolicyHarness.without_quotas(hedging_allowed=hedging_allowed)
    connected = only_attempt_in(harness.request())
    disconnected = only_attempt_in(harness.request())
    harness.deliver(ClientDisconnected(disconnected.request_id))

    hedges = attempts_in(harness.pass_time(900))

    assert [hedge.request_id for hedge in hedges] == [connected.request_id] * hedging_allowed

    if not hedging_allowed:
        retries = attempts_in(harness.end_attempt(connected, Outcome.FAILED))
        assert [retry.request_id for retry in retries] == [connected.request_id]
    actions = [*harness.end_attempt(disconnected, Outcome.FAILED), *harness.pass_time(3_000)]

    assert all(attempt.request_id == connected.request_id for attempt in attempts_in(actions))
