"""Tests of the quotas and load shedding of many gateways together, in virtual time."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import pytest

from gateway.policy.settings import Plan
from gateway.policy.shared_bucket import SharedTokenBucket, counter_key
from tests.support.fleet import CountKey, Fleet, FleetConditions, FleetEvent, exponential_latency
from tests.support.fleet_customers import Customer, ReferenceQuota

GATEWAY_COUNT = 40
SMALL = Plan("small", rate=0.4, burst=2, over_quota_cost=1.2)
LARGE = Plan("large", rate=2, burst=4, over_quota_cost=0.8)


class MeteredFleet(Fleet):
    """A fleet that also counts the units that a single gateway would forward within all quotas."""

    def __init__(
        self,
        gateway_count: int,
        customers: list[Customer],
        conditions: FleetConditions,
        **settings_changes: object,
    ) -> None:
        super().__init__(gateway_count, customers, conditions, **settings_changes)
        self.units_within_quota = 0
        self.plans = {customer.plan.name: customer.plan for customer in customers}
        self._single_gateway_quotas = {
            customer.name: ReferenceQuota.full(customer.plan, self.now) for customer in customers
        }

    def send_new_request(self, customer: Customer) -> None:
        """Count the request for the single gateway, then send it; retries are not counted."""
        self.units_within_quota += self._single_gateway_quotas[customer.name].take(self.now)
        super().send_new_request(customer)

    def forwarded_within_quota(self) -> float:
        """Return the units forwarded within the quotas, relative to those that one gateway would forward."""
        forwarded = sum(self.counts[CountKey(FleetEvent.FORWARDED_WITHIN_QUOTA, plan)] for plan in self.plans)
        return forwarded / self.units_within_quota

    def forwarded_beyond_quota(self) -> float:
        """Return the units forwarded beyond the quotas, relative to those that one gateway would forward."""
        forwarded = sum(self.counts[CountKey(FleetEvent.FORWARDED_BEYOND_QUOTA, plan)] for plan in self.plans)
        return forwarded / self.units_within_quota

    def over_quota_cost(self) -> float:
        """Return the cost of units forwarded beyond the quotas, per unit that one gateway would forward."""
        cost = sum(
            self.counts[CountKey(FleetEvent.FORWARDED_BEYOND_QUOTA, plan.name)] * plan.over_quota_cost
            for plan in self.plans.values()
        )
        return cost / self.units_within_quota


def create_gateway_set(rng: random.Random, gateway_count: int, smallest_set: int) -> list[int]:
    """Return adjacent gateways from a random first one on, in random order."""
    start = rng.randrange(gateway_count)
    size = rng.randint(smallest_set, gateway_count)
    gateways = [(start + offset) % gateway_count for offset in range(size)]
    rng.shuffle(gateways)
    return gateways


def create_customers(seed: int = 5, small_count: int = 90, large_count: int = 20) -> list[Customer]:
    """Create customers of which one in eight uses four times its quota and two in eight nearly all of it.

    The others use a part of it.
    """
    rng = random.Random(seed)
    customers = []
    for number in range(small_count + large_count):
        plan = SMALL if number < small_count else LARGE
        if number % 8 == 0:
            quota_use = 4.0
        elif number % 8 < 3:
            quota_use = 0.95
        else:
            quota_use = rng.uniform(0.15, 0.5)
        gateways = create_gateway_set(rng, GATEWAY_COUNT, smallest_set=20)
        customers.append(Customer(f"{plan.name}{number}", plan, quota_use * plan.rate, gateways))
    return customers


def simulate_small_quotas(counter_calls_per_s: float) -> MeteredFleet:
    """Simulate 20 seconds of customers whose quotas are too small to be divided among their gateways."""
    conditions = FleetConditions(counter_calls_per_s=counter_calls_per_s, max_client_retries=2)
    fleet = MeteredFleet(GATEWAY_COUNT, create_customers(), conditions, max_retry_after_ms=1000.0)
    fleet.run(20)
    return fleet


def test_quotas_too_small_to_divide_hold_by_the_shared_total() -> None:
    """If rejected units counted as spent, a customer would be rejected while its bucket is full."""
    fleet = simulate_small_quotas(counter_calls_per_s=2_000)

    assert fleet.forwarded_within_quota() > 0.95
    assert fleet.forwarded_beyond_quota() < 0.06


def test_an_overloaded_counter_is_called_where_the_result_is_not_known() -> None:
    """A call for every request from all gateways would overload the counter until no call succeeds."""
    fleet = simulate_small_quotas(counter_calls_per_s=180)  # capacity for about one call per request

    assert fleet.forwarded_within_quota() > 0.95
    assert fleet.forwarded_beyond_quota() < 0.1


FULL_SIZE_GATEWAY_COUNT = 180
"""Number of gateways in a fleet of full size."""
LOW_RATE = Plan("thin", rate=0.8, burst=4, over_quota_cost=1.2)
HIGH_RATE = Plan("wide", rate=4.2, burst=8, over_quota_cost=0.8)
REFERENCE_DELAY_MS = 100.0
"""Delay, in milliseconds, with which the reference sees a quota's state.

Any endpoint list or meter reports later, so the reference is a strict measure.
"""


class TimedTokens(NamedTuple):
    """The tokens that a quota held at a point in time."""

    at: float
    tokens: float


class DelayedReference:
    """A reference policy that knows the true state of a customer's quota, but `REFERENCE_DELAY_MS` late."""

    def __init__(self, plan: Plan, now: float) -> None:
        self._plan = plan
        self._quota = ReferenceQuota.full(plan, now)
        self._history = deque([TimedTokens(now, plan.burst)])

    def over_quota_cost(self, now: float) -> float:
        """Return the cost of a request that arrives now; positive if it is forwarded beyond the quota."""
        if self._visible_tokens(now) < 1:
            return 0.0
        is_within_quota = self._quota.take(now)
        self._history.append(TimedTokens(now, self._quota.tokens))
        return 0.0 if is_within_quota else self._plan.over_quota_cost

    def _visible_tokens(self, now: float) -> float:
        visible_until = now - REFERENCE_DELAY_MS
        while len(self._history) > 1 and self._history[1].at <= visible_until:
            self._history.popleft()
        visible = self._history[0]
        earned = max(0.0, visible_until - visible.at) / 1000 * self._plan.rate
        return min(self._plan.burst, visible.tokens + earned)


class FullSizeFleet(MeteredFleet):
    """A fleet of full size that also adds up the delayed reference's cost of the same requests."""

    def __init__(self, customers: list[Customer], conditions: FleetConditions) -> None:
        super().__init__(FULL_SIZE_GATEWAY_COUNT, customers, conditions)
        self._delayed_references = {
            customer.name: DelayedReference(customer.plan, self.now) for customer in customers
        }
        self._reference_cost = 0.0

    def send_new_request(self, customer: Customer) -> None:
        """Let the delayed reference decide on the request, too."""
        self._reference_cost += self._delayed_references[customer.name].over_quota_cost(self.now)
        super().send_new_request(customer)

    def reference_over_quota_cost(self) -> float:
        """Return the delayed reference's cost, per unit that one gateway would forward."""
        return self._reference_cost / self.units_within_quota

    def timely_counter_responses(self) -> float:
        """Return the fraction of counter calls that got their response in time."""
        handled = self.counts[CountKey(FleetEvent.COUNTER_CALL_HANDLED)]
        called = handled + self.counts[CountKey(FleetEvent.COUNTER_CALL_REJECTED)]
        return (handled - self.counts[CountKey(FleetEvent.COUNTER_CALL_TIMED_OUT)]) / called


def create_full_size_customers(seed: int) -> list[Customer]:
    """Create customers of which one in nine uses about four times its quota and one in six about all of it.

    The others use a part of it.
    """
    rng = random.Random(seed)
    customers = []
    for number in range(560):
        plan = LOW_RATE if number % 10 else HIGH_RATE
        drawn = rng.random()
        if drawn < 0.11:
            quota_use = rng.uniform(2.9, 4.8)
        elif drawn < 0.28:
            quota_use = rng.uniform(0.9, 1.2)
        else:
            quota_use = rng.uniform(0.15, 0.9)
        gateways = create_gateway_set(rng, FULL_SIZE_GATEWAY_COUNT, smallest_set=FULL_SIZE_GATEWAY_COUNT // 2)
        weights = [(rank + 1) ** -1.2 for rank in range(len(gateways))]
        customers.append(Customer(f"{plan.name}{number}", plan, quota_use * plan.rate, gateways, weights))
    return customers


def simulate_full_size(counter_calls_per_s: float, seed: int = 3) -> FullSizeFleet:
    """Simulate ten seconds of a fleet without faults whose counter responds late when it is overloaded."""
    conditions = FleetConditions(
        seed=seed,
        counter_calls_per_s=counter_calls_per_s,
        counter_queue_length=round(counter_calls_per_s / 10),  # the calls that it handles in 100 ms
        counter_timeout_ms=50.0,
        draw_latency_ms=exponential_latency(150),
    )
    fleet = FullSizeFleet(create_full_size_customers(seed), conditions)
    fleet.run(10)
    return fleet


def test_quotas_hold_at_full_size() -> None:
    fleet = simulate_full_size(counter_calls_per_s=2_000)

    assert fleet.forwarded_within_quota() > 0.95
    assert fleet.over_quota_cost() < 0.05
    assert fleet.timely_counter_responses() > 0.95


def test_a_fleet_of_full_size_does_not_prolong_the_overload_of_its_counter() -> None:
    """Once calls queue for longer than the timeout, the counter handles calls that no gateway waits for."""
    fleet = simulate_full_size(counter_calls_per_s=500)  # capacity for less than one call per request

    assert fleet.forwarded_within_quota() > 0.87
    assert fleet.over_quota_cost() < min(0.16, fleet.reference_over_quota_cost() + 0.1)
    assert fleet.timely_counter_responses() > 0.6


FREE = Plan("free")


def simulate_without_quotas(draw_latency_ms: Callable[[random.Random, int], float]) -> Fleet:
    """Simulate 30 seconds of gateways that get six requests a second each."""
    customers = [Customer(f"c{index}", FREE, rate=6.0, gateways=[index]) for index in range(GATEWAY_COUNT)]
    fleet = Fleet(
        GATEWAY_COUNT, customers, FleetConditions(draw_latency_ms=draw_latency_ms), counter_available=False
    )
    fleet.run(30)
    return fleet


def test_few_requests_in_flight_are_not_taken_for_a_queue() -> None:
    """Five requests in flight at six responses a second are too few to estimate a queueing delay from."""
    fleet = simulate_without_quotas(exponential_latency(400))

    requested = fleet.counts[CountKey(FleetEvent.REQUESTED, FREE.name)]
    rejected = fleet.counts[CountKey(FleetEvent.REJECTED_WITHIN_QUOTA, FREE.name)]
    assert requested > 6_000
    assert rejected < 0.02 * requested


def test_few_requests_in_flight_at_slow_backends_are_shed() -> None:
    """In a large fleet, the requests of all gateways share a queue that no single gateway sees."""
    fleet = simulate_without_quotas(lambda _rng, _backend_id: 1_500.0)

    requested = fleet.counts[CountKey(FleetEvent.REQUESTED, FREE.name)]
    rejected = fleet.counts[CountKey(FleetEvent.REJECTED_WITHIN_QUOTA, FREE.name)]
    assert rejected > 0.3 * requested


@pytest.mark.parametrize("request_count", [1, 2])
def test_the_total_of_a_full_bucket_is_corrected_once_after_idle_time(request_count: int) -> None:
    """If two gateways both corrected the total, a customer within its quota would be left in debt."""
    customer = Customer("calm", LARGE, 0.2, list(range(30)))
    fleet = Fleet(GATEWAY_COUNT, [customer], FleetConditions(seed=3), max_retry_after_ms=1000.0)
    fleet.send_request(customer)
    fleet.run(0.1)
    fleet.stall(6)  # six seconds add nothing to a full bucket

    for _ in range(request_count):
        fleet.send_request(customer)
    fleet.run(0.1)

    bucket = SharedTokenBucket.for_customer(customer.name, LARGE.rate, LARGE.burst)
    period = bucket.period(fleet.now)
    total = fleet.counter.totals[f"{period}:{counter_key(customer.name)}"]
    level = bucket.level(fleet.now, period, total)
    assert level == pytest.approx(fleet.quotas[customer.name].refill(fleet.now), abs=1.0)
