"""A fleet's asks of a service that serves few of them, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from gateway.network.backoff import LONGEST_S, TOLD_S, Backoff

PATIENCE_S = 2.0  # what waits longer in the service's line is turned away, when its turn comes


def reached(gateways: int, per_s: float, until_s: float) -> int:
    """How many of a fleet that starts together a service of one line has served by then.

    What has waited too long in its line still takes its turn: then everybody waits, and nobody is served.
    """
    chance, free, served = random.Random(7), 0.0, 0
    fleet = [Backoff(gateways, 10.0, chance) for _ in range(gateways)]
    asks = [(gateway.start(), index) for index, gateway in enumerate(fleet)]
    heapq.heapify(asks)
    while asks and asks[0][0] < until_s:
        now, index = heapq.heappop(asks)
        free = max(free, now) + 1 / per_s
        if free - now <= PATIENCE_S:
            served += free <= until_s
        else:
            heapq.heappush(asks, (now + PATIENCE_S + fleet[index].next(), index))
    return served


@pytest.mark.parametrize(("per_s", "until_s"), [(20.0, 6.0), (8.0, 10.0), (6.0, 20.0)])
def test_a_narrow_service_serves_a_whole_fleet_soon(per_s: float, until_s: float) -> None:
    assert reached(40, per_s, until_s) == 40


def test_waits_grow_to_the_longest_and_begin_anew_once_served() -> None:
    backoff = Backoff(10, 10.0, random.Random(1))
    waits = [backoff.next() for _ in range(40)]
    assert 0.375 <= waits[0] <= 0.75
    assert all(LONGEST_S / 2 <= wait <= LONGEST_S for wait in waits[3:])
    assert max(waits) - min(waits[3:]) > LONGEST_S / 3, "those turned away together come back together"
    backoff.served()
    assert backoff.next() <= 0.75


@pytest.mark.parametrize("gateways", [1, 40, 200, 3_700])
def test_two_waits_with_a_refusal_between_leave_time_for_the_answer(gateways: int) -> None:
    """Danger: what discovery learns meanwhile counts as told, heard or not."""
    for seed in range(20):
        backoff = Backoff(gateways, 10.0, random.Random(seed))
        waits = [backoff.next() for _ in range(20)]
        assert max(first + second for first, second in itertools.pairwise(waits)) <= TOLD_S - 1.0


@pytest.mark.parametrize(("gateways", "most_per_s"), [(40, 25), (200, 115), (3_700, 2_100)])
def test_calls_of_a_fleet_that_is_turned_away_thin_out(gateways: int, most_per_s: int) -> None:
    """Each gateway comes back within its wait, so that a fleet cannot call less often than this."""
    chance, calls = random.Random(7), 0
    for backoff in [Backoff(gateways, 10.0, chance) for _ in range(gateways)]:
        now = backoff.start()
        while (now := now + backoff.next()) < 60.0:
            calls += now >= 30.0
    assert calls / 30 <= most_per_s


def test_a_small_fleet_hardly_waits() -> None:
    assert Backoff(2, 10.0, random.Random(1)).next() < 0.2
    assert Backoff(2, 10.0, random.Random(1)).start() <= 0.2
