"""A fleet that polls a service with little capacity, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from gateway.network.discovery.backoff import MAX_DELAY_S, NOTIFICATION_BOUND_S, Backoff

QUEUE_TIMEOUT_S = 2.0  # a call that waits longer in the service's queue is rejected, when its turn comes
MAX_POLL_AGE_S = 10.0


def count_answered(gateway_count: int, capacity_per_s: float, until_s: float) -> int:
    """How many gateways of a fleet that starts together a service with one queue has answered by then.

    A call that has waited too long in the queue still takes its turn: then everybody waits, and nobody is
    answered.
    """
    rng = random.Random(7)
    free_at = 0.0
    answered = 0
    fleet = [Backoff(gateway_count, MAX_POLL_AGE_S, rng) for _ in range(gateway_count)]
    calls = [(backoff.initial_delay(), index) for index, backoff in enumerate(fleet)]
    heapq.heapify(calls)
    while calls and calls[0][0] < until_s:
        now, index = heapq.heappop(calls)
        free_at = max(free_at, now) + 1 / capacity_per_s
        if free_at - now <= QUEUE_TIMEOUT_S:
            answered += free_at <= until_s
        else:
            heapq.heappush(calls, (now + QUEUE_TIMEOUT_S + fleet[index].next_delay(), index))
    return answered


@pytest.fixture
def backoff() -> Backoff:
    return Backoff(10, MAX_POLL_AGE_S, random.Random(1))


@pytest.mark.parametrize(("capacity_per_s", "until_s"), [(20.0, 6.0), (8.0, 10.0), (6.0, 20.0)])
def test_service_with_little_capacity_answers_whole_fleet_soon(capacity_per_s: float, until_s: float) -> None:
    assert count_answered(40, capacity_per_s, until_s) == 40


def test_delays_grow_to_the_cap_and_start_anew_after_a_reset(backoff: Backoff) -> None:
    delays = [backoff.next_delay() for _ in range(40)]
    backoff.reset()
    delay_after_reset = backoff.next_delay()

    assert 0.375 <= delays[0] <= 0.75
    assert all(MAX_DELAY_S / 2 <= delay <= MAX_DELAY_S for delay in delays[3:])
    assert max(delays) - min(delays[3:]) > MAX_DELAY_S / 3, "gateways rejected together return together"
    assert delay_after_reset <= 0.75


@pytest.mark.parametrize("gateway_count", [1, 40, 200, 3_700])
@pytest.mark.parametrize("seed", range(20))
def test_two_delays_with_a_rejection_between_leave_time_for_the_answer(gateway_count: int, seed: int) -> None:
    """Danger: a change that discovery learns meanwhile counts as notified, heard or not."""
    backoff = Backoff(gateway_count, MAX_POLL_AGE_S, random.Random(seed))

    delays = [backoff.next_delay() for _ in range(20)]

    assert max(a + b for a, b in itertools.pairwise(delays)) <= NOTIFICATION_BOUND_S - 1.0


@pytest.mark.parametrize(("gateway_count", "max_calls_per_s"), [(40, 25), (200, 115), (3_700, 2_100)])
def test_calls_of_a_rejected_fleet_thin_out(gateway_count: int, max_calls_per_s: int) -> None:
    """Each gateway returns within its delay, so that a fleet cannot call less often than this."""
    rng = random.Random(7)
    fleet = [Backoff(gateway_count, MAX_POLL_AGE_S, rng) for _ in range(gateway_count)]

    call_count = 0
    for backoff in fleet:
        now = backoff.initial_delay()
        while (now := now + backoff.next_delay()) < 60.0:
            call_count += now >= 30.0

    assert call_count / 30 <= max_calls_per_s


def test_small_fleet_hardly_waits_after_a_rejection() -> None:
    assert Backoff(2, MAX_POLL_AGE_S, random.Random(1)).next_delay() < 0.2


def test_small_fleet_hardly_waits_before_its_first_call() -> None:
    assert Backoff(2, MAX_POLL_AGE_S, random.Random(1)).initial_delay() <= 0.2
