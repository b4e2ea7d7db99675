"""Outlier detection: backends that fail, hang, or fail only the requests of one class."""

from __future__ import annotations

from gateway.policy.actions import StartAttempt
from gateway.policy.events import Outcome
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    backends_used,
    only_attempt_in,
    serve_steadily,
)
from tests.support.policy_settings import IDEMPOTENT, UNSAFE, WITH_KEY

FAULTY_BACKEND = 1


def end_attempt_at_faulty_or_good_backend(
    harness: PolicyHarness, attempt: StartAttempt
) -> list[StartAttempt]:
    """End an attempt: it fails at the faulty backend and succeeds at any other. Return its retries."""
    harness.pass_time(20)
    if attempt.backend_id == FAULTY_BACKEND:
        return attempts_in(harness.end_attempt(attempt, Outcome.FAILED, attempt_number=0))
    attempt_number = harness.last_attempt_number(attempt.request_id)
    return attempts_in(harness.end_attempt(attempt, attempt_number=attempt_number))


def count_attempts_at_faulty_backend(harness: PolicyHarness, request_count: int) -> int:
    """Send `request_count` requests; return the number of attempts at the faulty backend, with retries."""
    faulty_attempts = 0
    for _ in range(request_count):
        attempts = [only_attempt_in(harness.request())]
        while attempts:
            faulty_attempts += attempts[0].backend_id == FAULTY_BACKEND
            attempts = end_attempt_at_faulty_or_good_backend(harness, attempts[0])
    return faulty_attempts


def test_a_faulty_backend_is_avoided_and_later_used_again(unlimited_harness: PolicyHarness) -> None:
    harness = unlimited_harness
    serve_steadily(harness)

    assert count_attempts_at_faulty_backend(harness, 60) <= 10
    assert count_attempts_at_faulty_backend(harness, 60) <= 10

    harness.pass_time(20_000)

    assert FAULTY_BACKEND in backends_used(harness, 40)


def test_a_hanging_backend_is_avoided_while_its_peers_respond(unlimited_harness: PolicyHarness) -> None:
    harness = unlimited_harness
    serve_steadily(harness)
    hung_attempts = 0

    for _ in range(150):
        attempt = only_attempt_in(harness.request(UNSAFE.name, remaining_ms=60_000))
        harness.pass_time(50)
        if attempt.backend_id == FAULTY_BACKEND:
            hung_attempts += 1
        else:
            harness.end_attempt(attempt)

    assert hung_attempts <= 8


def test_a_backend_that_fails_one_class_is_avoided_for_that_class_alone() -> None:
    """With one score for all classes, the backend would look half healthy and still get failing requests."""
    harness = PolicyHarness.without_quotas(max_attempts=1)
    attempts_at_faulty_backend = {IDEMPOTENT.name: 0, WITH_KEY.name: 0}

    for number in range(400):
        request_class = WITH_KEY.name if number % 2 else IDEMPOTENT.name
        attempt = only_attempt_in(harness.request(request_class))
        harness.pass_time(20)
        is_at_faulty_backend = attempt.backend_id == FAULTY_BACKEND
        fails = is_at_faulty_backend and request_class == WITH_KEY.name
        harness.end_attempt(attempt, Outcome.FAILED if fails else Outcome.OK)
        if is_at_faulty_backend and number > 100:
            attempts_at_faulty_backend[request_class] += 1

    assert attempts_at_faulty_backend[WITH_KEY.name] <= 8
    assert attempts_at_faulty_backend[IDEMPOTENT.name] >= 25
