"""Scenario `counter`: the counter's calls for each request, by demand and by gateways of a customer."""

from __future__ import annotations

import math
from typing import NamedTuple

from .policies import metered_plan
from .tables import print_header, print_row
from .virtual_fleet import VirtualFleet

SPREADS = (2, 12, 100, 400)
"""Gateways of a customer."""

RUN_S = 20
"""Virtual time of a case."""

MIN_REQUESTS = 4_000
"""Requests of a case, about."""


class Demand(NamedTuple):
    """How a customer asks, and its plan: requests a second, units a second and units at once."""

    request_rate: float
    plan_rate: float
    burst: float


DEMANDS = (Demand(3.3, 11.0, 22.0), Demand(3.3, 3.7, 7.4), Demand(3.3, 1.1, 2.2), Demand(0.3, 1.0, 2.0))


def run() -> None:
    """Print a row for each number of gateways and way of asking."""
    print("Calls and bytes on the counter for each request; the counter answers each call")
    print_header(
        "gateways of a customer",
        "asks a second",
        "quota",
        "burst",
        "requests",
        "sent on",
        "calls a request",
        "bytes a request",
        "bytes a call",
    )
    for spread in SPREADS:
        for demand in DEMANDS:
            print_row(spread, *demand, *measure(spread, demand))


def measure(spread: int, demand: Demand) -> tuple[object, ...]:
    """Return the requests, and the parts of them that were forwarded, counted and sent as bytes."""
    fleet = VirtualFleet(spread, metered_plan(demand.plan_rate, demand.burst))
    for number in range(math.ceil(MIN_REQUESTS / RUN_S / demand.request_rate)):
        fleet.add_customer(f"{number:016x}", demand.request_rate, list(range(spread)))
    fleet.run(RUN_S)
    requests = fleet.counts["requests"]
    calls = fleet.counts["counter calls"]
    sent_bytes = fleet.counts["counter bytes"]
    forwarded = fleet.counts["forwarded"]
    return requests, forwarded / requests, calls / requests, sent_bytes / requests, sent_bytes / calls
