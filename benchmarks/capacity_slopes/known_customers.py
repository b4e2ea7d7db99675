"""Scenario `customers`: a customer's memory and time at a gateway, by how many are known there."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from gateway.policy.actions import IncrementCounter, StartAttempt
from gateway.policy.events import AttemptEnded, ClientDisconnected, CounterResponse, Outcome, RequestArrived

from .measurement import min_cpu_us, retained_bytes
from .policies import (
    DEADLINE_MS,
    REQUEST_CLASS,
    REQUEST_ID,
    SERVICE_TIME_MS,
    START_MS,
    arrival,
    make_policy,
    make_settings,
    metered_plan,
)
from .policy_internals import make_cleanup_due, postpone_cleanup
from .tables import print_header, print_row

RATE = 12.0
"""The plan's units a second."""

CASES = ((40, 2), (2, 12))
"""Bursts, and gateways of a customer: local leases, and shared buckets."""

CUSTOMER_COUNTS = (1_000, 10_000, 100_000)

SAMPLE_SIZE = 2_000
"""Customers whose requests are timed."""

BACKENDS = 8
REQUEST_INTERVAL_MS = 1_000.0

PAID_UNITS = 6.0
"""About half of what time has paid since the period began, so that a call is not taken for the first one."""


class KnownCustomers:
    """A gateway that knows so many customers."""

    def __init__(self, count: int, *, burst: int, spread: int, counter_available: bool) -> None:
        settings = make_settings(
            metered_plan(RATE, burst), gateways=spread, counter_available=counter_available
        )
        self.policy = make_policy(settings, backends=BACKENDS)
        self._spread = spread
        self._now = START_MS
        self.send_requests(range(count))

    def send_requests(self, customers: Iterable[int]) -> None:
        """Send a request of each, a second after the last; a counter call is due by then, and is answered."""
        self._now += REQUEST_INTERVAL_MS
        postpone_cleanup(self.policy, self._now)
        for customer in customers:
            # Events are made here: a builder's call would be measured as well.
            arrived = RequestArrived(
                request_id=REQUEST_ID,
                request_class=REQUEST_CLASS,
                plan="plan",
                customer=f"{customer:016x}",
                deadline=self._now + DEADLINE_MS,
                cost=1.0,
                gateway_set_size=self._spread,
                gateway_set_start=0,
            )
            actions = self.policy.handle(self._now, arrived)
            for action in actions:
                if isinstance(action, IncrementCounter):
                    response = CounterResponse(action.name, Outcome.OK, PAID_UNITS + action.amount)
                    actions += self.policy.handle(self._now, response)
                elif isinstance(action, StartAttempt):
                    ended = AttemptEnded(REQUEST_ID, 0, action.backend_id, Outcome.OK, SERVICE_TIME_MS, True)
                    self.policy.handle(self._now + 0.001, ended)

    def search_idle(self) -> None:
        """Send an arrival that finds the search for idle customers due; none is idle."""
        make_cleanup_due(self.policy)
        unknown = arrival(self._now, customer="", timeout_ms=1.0)
        self.policy.handle(self._now, unknown)
        self.policy.handle(self._now, ClientDisconnected(REQUEST_ID))


def run() -> None:
    """Print a row for each kind of customer and number of them."""
    print("The customers that a gateway knows: local leases (burst 40) and shared buckets (burst 2)")
    print_header(
        "burst",
        "gateways of a customer",
        "customers",
        "bytes each",
        "us a request",
        "us with a counter call",
        "us each to forget the idle ones",
    )
    for burst, spread in CASES:
        for count in CUSTOMER_COUNTS:
            print_row(*measure(count, burst, spread))


def measure(count: int, burst: int, spread: int) -> tuple[object, ...]:
    """Return the row of so many customers."""
    create = partial(KnownCustomers, count, burst=burst, spread=spread)
    size = retained_bytes(partial(create, counter_available=False)) // count
    without_counter = create(counter_available=False)
    with_counter = create(counter_available=True)
    sample = range(0, count, max(1, count // SAMPLE_SIZE))
    request_us = min_cpu_us(partial(without_counter.send_requests, sample)) / len(sample)
    counted_request_us = min_cpu_us(partial(with_counter.send_requests, sample)) / len(sample)
    search_us = min_cpu_us(without_counter.search_idle) / count
    return burst, spread, count, size, request_us, counted_request_us, search_us
