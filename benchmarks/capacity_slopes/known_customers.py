"""Scenario `customers`: the memory and processor time of a customer, by the number of known customers."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from gateway.policy.actions import IncrementCounter, StartAttempt
from gateway.policy.events import AttemptEnded, ClientDisconnected, CounterResponse, Outcome, RequestArrived

from .measurement import min_cpu_us, retained_bytes
from .policies import (
    DEADLINE_MS,
    REQUEST_CLASS,
    REQUEST_ID,
    SERVICE_TIME_MS,
    START_MS,
    arrival_event,
    make_policy,
    make_settings,
    metered_plan,
)
from .policy_internals import make_idle_search_due, postpone_idle_search
from .tables import print_header, print_row

PLAN_RATE = 12.0
"""Quota of a customer, in units per second."""

CUSTOMER_COUNTS = (1_000, 10_000, 100_000)

SAMPLE_SIZE = 2_000
"""Approximate number of customers whose requests are timed."""

BACKENDS = 8
REQUEST_INTERVAL_MS = 1_000.0

EARLIER_USAGE = 6.0
"""Units in the counter's total before a call: about half of the units that accrued in the period.

A total without earlier usage would be taken for the total of a new period.
"""


class QuotaCase(NamedTuple):
    """A customer's burst and number of gateways, which decide between local leases and a shared bucket."""

    burst: int
    gateways_per_customer: int


LOCAL_LEASES = QuotaCase(burst=40, gateways_per_customer=2)
SHARED_BUCKETS = QuotaCase(burst=2, gateways_per_customer=12)
QUOTA_CASES = (LOCAL_LEASES, SHARED_BUCKETS)


class GatewayWithKnownCustomers:
    """A gateway that has served a request of each of `count` customers."""

    def __init__(self, count: int, quota: QuotaCase, *, counter_available: bool) -> None:
        settings = make_settings(
            metered_plan(PLAN_RATE, quota.burst),
            gateways=quota.gateways_per_customer,
            counter_available=counter_available,
        )
        self.policy = make_policy(settings, backends=BACKENDS)
        self._gateways_per_customer = quota.gateways_per_customer
        self._now = START_MS
        self.send_requests(range(count))

    def send_requests(self, customers: Iterable[int]) -> None:
        """Send a request of each customer, a second after the last round; respond to all counter calls."""
        self._now += REQUEST_INTERVAL_MS
        postpone_idle_search(self.policy, self._now)
        for customer in customers:
            # A call of `arrival_event` would add to the measured time.
            arrived = RequestArrived(
                request_id=REQUEST_ID,
                request_class=REQUEST_CLASS,
                plan="plan",
                customer=f"{customer:016x}",
                deadline=self._now + DEADLINE_MS,
                cost=1.0,
                gateway_set_size=self._gateways_per_customer,
                gateway_set_start=0,
            )
            actions = self.policy.handle(self._now, arrived)
            for action in actions:
                if isinstance(action, IncrementCounter):
                    response = CounterResponse(action.name, Outcome.OK, EARLIER_USAGE + action.amount)
                    actions += self.policy.handle(self._now, response)
                elif isinstance(action, StartAttempt):
                    ended = AttemptEnded(REQUEST_ID, 0, action.backend_id, Outcome.OK, SERVICE_TIME_MS, True)
                    self.policy.handle(self._now + 0.001, ended)

    def search_idle_customers(self) -> None:
        """Send a request whose arrival triggers the search for idle customers; none is idle."""
        make_idle_search_due(self.policy)
        arrived = arrival_event(self._now, customer="", timeout_ms=1.0)
        self.policy.handle(self._now, arrived)
        self.policy.handle(self._now, ClientDisconnected(REQUEST_ID))


def run() -> None:
    """Print a table with a row for each quota case and number of customers."""
    print("Known customers of a gateway: local leases (burst 40) and shared buckets (burst 2)")
    print_header(
        "burst, units",
        "gateways per customer",
        "customers",
        "bytes per customer",
        "us per request",
        "us per request with a counter call",
        "us per customer to search idle ones",
    )
    for quota in QUOTA_CASES:
        for count in CUSTOMER_COUNTS:
            print_row(*quota, *measure_customers(count, quota))


def measure_customers(count: int, quota: QuotaCase) -> tuple[object, ...]:
    """Return the table row for `count` customers: `count`, bytes per customer, and processor times in us.

    The times are those of a request, of a request with a counter call, and of the idle search per customer.
    """
    create_gateway = partial(GatewayWithKnownCustomers, count, quota)
    bytes_per_customer = retained_bytes(partial(create_gateway, counter_available=False)) // count
    without_counter = create_gateway(counter_available=False)
    with_counter = create_gateway(counter_available=True)
    sample = range(0, count, max(1, count // SAMPLE_SIZE))
    request_us = min_cpu_us(partial(without_counter.send_requests, sample)) / len(sample)
    counted_request_us = min_cpu_us(partial(with_counter.send_requests, sample)) / len(sample)
    search_us = min_cpu_us(without_counter.search_idle_customers) / count
    return count, bytes_per_customer, request_us, counted_request_us, search_us
