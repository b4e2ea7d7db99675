"""Backoff of a fleet that polls a service of low capacity, simulated in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from gateway.network.discovery.backoff import MAX_DELAY_S, NOTIFICATION_BOUND_S, Backoff

QUEUE_TIMEOUT_S = 2.0
"""Maximum queueing time of a call, in seconds; a call that would wait longer is rejected."""

LOOSE_MAX_DELAY_S = 10.0
"""A `max_delay_s`, in seconds, that is above `MAX_DELAY_S` and so does not lower the cap."""


def count_answered(gateway_count: int, capacity_per_s: float, until_s: float) -> int:
    """Return how many gateways of a fleet that starts together are answered by `until_s`.

    The service has one queue, in which a call that has waited too long still takes service time. A fleet
    without backoff would fill the queue with such calls, and none would be answered.
    """
    rng = random.Random(7)
    free_at = 0.0
    answered = 0
    fleet = [Backoff(gateway_count, LOOSE_MAX_DELAY_S, rng) for _ in range(gateway_count)]
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
    return Backoff(10, LOOSE_MAX_DELAY_S, random.Random(1))


@pytest.mark.parametrize(("capacity_per_s", "until_s"), [(20.0, 6.0), (8.0, 10.0), (6.0, 20.0)])
def test_service_with_little_capacity_serves_the_complete_fleet(
    capacity_per_s: float, until_s: float
) -> None:
    assert count_answered(40, capacity_per_s, until_s) == 40


def test_delays_grow_to_the_cap_and_restart_after_a_reset(backoff: Backoff) -> None:
    delays = [backoff.next_delay() for _ in range(40)]
    backoff.reset()
    delay_after_reset = backoff.next_delay()

    assert 0.375 <= delays[0] <= 0.75
    assert all(MAX_DELAY_S / 2 <= delay <= MAX_DELAY_S for delay in delays[3:])
    assert max(delays) - min(delays[3:]) > MAX_DELAY_S / 3, "gateways rejected together retry together"
    assert delay_after_reset <= 0.75


@pytest.mark.parametrize("gateway_count", [1, 40, 200, 3_700])
@pytest.mark.parametrize("seed", range(20))
def test_two_consecutive_delays_leave_time_for_the_response(gateway_count: int, seed: int) -> None:
    """A gateway is expected to know a change after `NOTIFICATION_BOUND_S`, even if its calls are rejected."""
    backoff = Backoff(gateway_count, LOOSE_MAX_DELAY_S, random.Random(seed))

    delays = [backoff.next_delay() for _ in range(20)]

    assert max(a + b for a, b in itertools.pairwise(delays)) <= NOTIFICATION_BOUND_S - 1.0


@pytest.mark.parametrize(("gateway_count", "max_calls_per_s"), [(40, 25), (200, 115), (3_700, 2_100)])
def test_backoff_bounds_the_call_rate_of_a_rejected_fleet(gateway_count: int, max_calls_per_s: int) -> None:
    """The bound grows with the fleet, because each gateway retries within `MAX_DELAY_S`."""
    rng = random.Random(7)
    fleet = [Backoff(gateway_count, LOOSE_MAX_DELAY_S, rng) for _ in range(gateway_count)]

    call_count = 0
    for backoff in fleet:
        now = backoff.initial_delay()
        while (now := now + backoff.next_delay()) < 60.0:
            call_count += now >= 30.0

    assert call_count / 30 <= max_calls_per_s


def test_first_delay_of_a_small_fleet_is_short() -> None:
    assert Backoff(2, LOOSE_MAX_DELAY_S, random.Random(1)).next_delay() < 0.2


def test_initial_delay_of_a_small_fleet_is_short() -> None:
    assert Backoff(2, LOOSE_MAX_DELAY_S, random.Random(1)).initial_delay() <= 0.2
