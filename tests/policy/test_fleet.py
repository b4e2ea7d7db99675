"""What many gateways do together, in virtual time."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

import pytest

from gateway.policy.settings import Plan
from gateway.policy.shared_bucket import MEMORY_MS, PERIOD_MS, SharedTokenBucket, counter_key
from tests.support.fleet import Conditions, CountKey, Fleet, FleetEvent, exponential_latency
from tests.support.fleet_customers import Customer, ReferenceQuota

GATEWAYS = 40
SMALL = Plan("small", rate=0.4, burst=2, over_quota_cost=1.2)
LARGE = Plan("large", rate=2, burst=4, over_quota_cost=0.8)


def customers(seed: int = 5, small: int = 90, large: int = 20) -> list[Customer]:
    """Most use a part of their quota, some nearly all of it, and one in eight asks four times as much."""
    chance, callers = random.Random(seed), []
    for number in range(small + large):
        plan = SMALL if number < small else LARGE
        use = 4.0 if number % 8 == 0 else 0.95 if number % 8 < 3 else chance.uniform(0.15, 0.5)
        first, spread = chance.randrange(GATEWAYS), chance.randint(20, GATEWAYS)
        gateways = [(first + place) % GATEWAYS for place in range(spread)]
        chance.shuffle(gateways)
        callers.append(Customer(f"{plan.name}{number}", plan, use * plan.rate, gateways))
    return callers


def played(counter_per_s: float) -> tuple[float, float]:
    """Units sent on inside the quotas and beyond them, as parts of what one gateway for all lets in."""
    offered = 0

    class Counting(Fleet):
        def send_new_request(self, caller: Customer) -> None:
            nonlocal offered
            offered += ideal[caller.name].take(self.now)
            super().send_new_request(caller)

    callers = customers()
    conditions = Conditions(counter_calls_per_s=counter_per_s, client_retries=2)
    fleet = Counting(GATEWAYS, callers, conditions, max_retry_after_ms=1000.0)
    ideal = {c.name: ReferenceQuota(c.plan, c.plan.burst, fleet.now) for c in callers}
    seen = fleet.play(20)
    inside, beyond = (
        sum(seen[CountKey(event, plan.name)] for plan in (SMALL, LARGE))
        for event in (FleetEvent.FORWARDED_WITHIN_QUOTA, FleetEvent.FORWARDED_BEYOND_QUOTA)
    )
    return inside / offered, beyond / offered


def test_a_quota_thinner_than_the_fleet_is_kept_by_what_all_gateways_spent() -> None:
    """Danger: refused units count as spent, and a customer is refused most while its bucket is full."""
    inside, beyond = played(counter_per_s=2_000)
    assert inside > 0.95
    assert beyond < 0.06


def test_a_counter_too_slow_for_all_is_asked_where_the_answer_is_not_known() -> None:
    """Danger: forty gateways that ask for every try crowd the counter, and then nobody is told anything."""
    inside, beyond = played(counter_per_s=180)  # about one call for each try
    assert inside > 0.95
    assert beyond < 0.1


FULL_SIZE = 180
THIN = Plan("thin", rate=0.8, burst=4, over_quota_cost=1.2)
WIDE = Plan("wide", rate=4.2, burst=8, over_quota_cost=0.8)


LATE_MS = 100.0  # sooner than any list or meter tells, and so a strict measure


class LateSeer:
    """A policy that knows a customer's true store, as it was a little ago."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.store = ReferenceQuota(plan, plan.burst, now)
        self.levels = deque([(now, plan.burst)])

    def price(self, now: float) -> float:
        """What a try costs that it lets in beyond the quota."""
        while len(self.levels) > 1 and self.levels[1][0] <= now - LATE_MS:
            self.levels.popleft()
        at, units = self.levels[0]
        plan = self.store.plan
        if min(plan.burst, units + max(0.0, now - LATE_MS - at) / 1000 * plan.rate) < 1:
            return 0.0
        inside = self.store.take(now)
        self.levels.append((now, self.store.tokens))
        return 0.0 if inside else plan.over_quota_cost


class QuietDay(NamedTuple):
    inside: float  # units sent on inside the quotas, as a part of what one gateway for all lets in
    price: float  # of the units beyond, likewise
    late_price: float  # that which a policy pays that sees the true state late
    answered: float  # the part of the calls that are answered in time


def quiet_day(counter_per_s: float, seed: int = 3) -> QuietDay:
    """A full-size fleet whose counter answers late when crowded."""
    chance, callers = random.Random(seed), []
    for number in range(560):
        plan = THIN if number % 10 else WIDE
        drawn = chance.random()
        use = chance.uniform(*((2.9, 4.8) if drawn < 0.11 else (0.9, 1.2) if drawn < 0.28 else (0.15, 0.9)))
        first, spread = chance.randrange(FULL_SIZE), chance.randint(FULL_SIZE // 2, FULL_SIZE)
        gateways = [(first + place) % FULL_SIZE for place in range(spread)]
        chance.shuffle(gateways)
        weights = [(place + 1) ** -1.2 for place in range(spread)]
        callers.append(Customer(f"{plan.name}{number}", plan, use * plan.rate, gateways, weights))
    offered, late_price = 0, 0.0

    class Counting(Fleet):
        def send_new_request(self, caller: Customer) -> None:
            nonlocal offered, late_price
            offered += ideal[caller.name].take(self.now)
            late_price += late[caller.name].price(self.now)
            super().send_new_request(caller)

    fleet = Counting(
        FULL_SIZE,
        callers,
        Conditions(
            seed=seed,
            counter_calls_per_s=counter_per_s,
            counter_queue_length=round(counter_per_s / 10),  # a tenth of a second's
            counter_timeout_ms=50.0,
            latency_ms=exponential_latency(150),
        ),
    )
    late = {c.name: LateSeer(c.plan, fleet.now) for c in callers}
    ideal = {c.name: ReferenceQuota(c.plan, c.plan.burst, fleet.now) for c in callers}
    seen = fleet.play(10)
    inside = sum(seen[CountKey(FleetEvent.FORWARDED_WITHIN_QUOTA, plan.name)] for plan in (THIN, WIDE))
    price = sum(
        seen[CountKey(FleetEvent.FORWARDED_BEYOND_QUOTA, plan.name)] * plan.over_quota_cost
        for plan in (THIN, WIDE)
    )
    handled = seen[CountKey(FleetEvent.COUNTER_CALL_HANDLED)]
    asked = handled + seen[CountKey(FleetEvent.COUNTER_CALL_REJECTED)]
    answered = (handled - seen[CountKey(FleetEvent.COUNTER_CALL_TIMED_OUT)]) / asked
    return QuietDay(inside / offered, price / offered, late_price / offered, answered)


def test_quotas_hold_on_a_quiet_day_at_full_size() -> None:
    day = quiet_day(counter_per_s=2_000)
    assert day.inside > 0.95
    assert day.price < 0.05
    assert day.answered > 0.95


def test_a_counter_too_slow_for_a_full_fleet_is_not_kept_late_by_it() -> None:
    """Danger: once its line is longer than gateways wait, it works for nobody, and all go on calling."""
    day = quiet_day(counter_per_s=500)  # under one call for each try
    assert day.inside > 0.87
    assert day.price < min(0.16, day.late_price + 0.1)  # the users' bound on a quiet day
    assert day.answered > 0.6


def test_a_handful_out_is_not_taken_for_a_queue() -> None:
    """Danger: the ratio of five out to six answers a second jumps by chance, and every gateway refuses."""
    free = Plan("free")
    callers = [Customer(f"c{i}", free, 6.0, [i]) for i in range(GATEWAYS)]
    fleet = Fleet(GATEWAYS, callers, Conditions(latency_ms=exponential_latency(400)), counter_available=False)
    seen = fleet.play(30)
    assert seen[CountKey(FleetEvent.REQUESTED, "free")] > 6_000
    assert (
        seen[CountKey(FleetEvent.REJECTED_WITHIN_QUOTA, "free")]
        < 0.02 * seen[CountKey(FleetEvent.REQUESTED, "free")]
    )


def test_a_handful_out_at_slow_backends_is_still_shed() -> None:
    """Danger: no gateway of a large fleet sees a queue, and all of them wait in it."""
    free = Plan("free")
    callers = [Customer(f"c{i}", free, 6.0, [i]) for i in range(GATEWAYS)]
    fleet = Fleet(GATEWAYS, callers, Conditions(latency_ms=lambda *_: 1_500.0), counter_available=False)
    seen = fleet.play(30)
    assert (
        seen[CountKey(FleetEvent.REJECTED_WITHIN_QUOTA, "free")]
        > 0.3 * seen[CountKey(FleetEvent.REQUESTED, "free")]
    )


BUCKET = SharedTokenBucket.of("customer", rate=2.0, burst=8.0)


def test_a_number_tells_what_the_bucket_holds() -> None:
    start = 7 * PERIOD_MS - BUCKET.offset
    assert BUCKET.period(start) == 7
    assert BUCKET.period(start - 1) == 6
    assert BUCKET.level(start, 7, 0.0) == 8.0
    assert BUCKET.level(start + 1000, 7, 9.0) == pytest.approx(1.0)
    assert BUCKET.wait(0.5) == 250.0
    assert BUCKET.wait(-1.0) == 0.0


def test_the_next_period_owes_what_time_has_not_paid_and_never_more_than_the_burst() -> None:
    paid = BUCKET.rate * PERIOD_MS / 1000
    assert [BUCKET.debt(spent) for spent in (0.0, paid, paid + 3, paid + 50)] == [0.0, 0.0, 3.0, 8.0]
    # The last number is still there, and the counter takes no longer life.
    assert 2 * PERIOD_MS < MEMORY_MS <= 60_000.0


def test_the_periods_of_many_customers_do_not_end_together() -> None:
    offsets = [SharedTokenBucket.of(f"c{i}", 1.0, 1.0).offset for i in range(300)]
    ends = [int(offset // 1000) for offset in offsets]
    assert max(ends.count(second) for second in ends) < 45  # 20 on average


@pytest.mark.parametrize("also", [False, True])
def test_idle_time_is_taken_off_the_number_once(also: bool) -> None:
    """Danger: two gateways that put it right at once leave a calm customer in debt."""
    caller = Customer("calm", LARGE, 0.2, list(range(30)))
    fleet = Fleet(GATEWAYS, [caller], Conditions(seed=3), max_retry_after_ms=1000.0)
    fleet.send_request(caller)
    fleet.play(0.1)
    fleet.stall(6)  # six seconds fill no further a bucket that was full
    fleet.send_request(caller)
    if also:
        fleet.send_request(caller)
    fleet.play(0.1)
    bucket = SharedTokenBucket.of("calm", LARGE.rate, LARGE.burst)
    period = bucket.period(fleet.now)
    level = bucket.level(fleet.now, period, fleet.counter.totals[f"{period}:{counter_key(caller.name)}"])
    assert level == pytest.approx(fleet.quotas["calm"].refill(fleet.now), abs=1.0)
