"""Scenario `counter`: counter calls per request, by a customer's demand and the size of its gateway set."""

from __future__ import annotations

import math
from typing import NamedTuple

from .policies import metered_plan
from .tables import print_header, print_row
from .virtual_fleet import VirtualFleet

GATEWAY_SET_SIZES = (2, 12, 100, 400)
"""Numbers of gateways that serve a customer."""

SIMULATED_S = 20
"""Virtual duration of each simulated case."""

MIN_EXPECTED_REQUESTS = 4_000
"""Minimum expected number of requests of a case; the actual number is random."""


class Demand(NamedTuple):
    """A customer's requests per second, and its plan: the rate in units per second, the burst in units."""

    request_rate: float
    plan_rate: float
    burst: float


DEMANDS = (Demand(3.3, 11.0, 22.0), Demand(3.3, 3.7, 7.4), Demand(3.3, 1.1, 2.2), Demand(0.3, 1.0, 2.0))


def run() -> None:
    """Print a table with a row for each size of the gateway set and each demand."""
    print("Calls and bytes at the counter per request; the counter responds to each call")
    print_header(
        "gateways per customer",
        "requests per second",
        "quota, units per second",
        "burst, units",
        "requests",
        "forwarded, fraction",
        "calls per request",
        "bytes per request",
        "bytes per call",
    )
    for gateway_set_size in GATEWAY_SET_SIZES:
        for demand in DEMANDS:
            print_row(gateway_set_size, *demand, *measure_demand(gateway_set_size, demand))


def measure_demand(gateway_set_size: int, demand: Demand) -> tuple[object, ...]:
    """Return requests, the forwarded fraction, counter calls and bytes per request, and bytes per call."""
    fleet = VirtualFleet(gateway_set_size, metered_plan(demand.plan_rate, demand.burst))
    for number in range(math.ceil(MIN_EXPECTED_REQUESTS / SIMULATED_S / demand.request_rate)):
        fleet.add_customer(f"{number:016x}", demand.request_rate, list(range(gateway_set_size)))
    fleet.run(SIMULATED_S)
    requests = fleet.counts["requests"]
    calls = fleet.counts["counter calls"]
    sent_bytes = fleet.counts["counter bytes"]
    forwarded = fleet.counts["forwarded"]
    return requests, forwarded / requests, calls / requests, sent_bytes / requests, sent_bytes / calls
