"""Scenario `outage`: usage forwarded during a counter outage, and usage not yet reported at its end."""

from __future__ import annotations

from typing import NamedTuple

from .policies import metered_plan
from .policy_internals import unreported_usage
from .tables import print_header, print_row
from .virtual_fleet import VirtualFleet

CUSTOMERS = 12

GATEWAY_SET_SIZES = (2, 12, 100, 400, 1_850)
"""Numbers of gateways that serve a customer."""

REQUEST_RATES = (3.0, 12.0)
"""Requests per second of a customer: as many as its quota allows, and four times as many."""

PLAN_RATE = 3.0
"""Quota of a customer, in units per second."""

BURST = 6.0
"""Units that a customer may spend at once."""

WARM_UP_S = 15


class Phase(NamedTuple):
    """A phase of a case: its duration, and whether the counter can be reached."""

    seconds: int
    is_counter_up: bool


PHASES = (Phase(15, True), Phase(15, False), Phase(45, False), Phase(15, True))
"""Phases of a case: before the outage, the first 15 s of the outage, the other 45 s, and after the outage."""


def run() -> None:
    """Print a table with a row for each size of the gateway set and request rate."""
    print("Units forwarded, as a fraction of the quota: before, during and after a counter outage of 60 s")
    print_header(
        "gateways per customer",
        "requests per second",
        "quota, units per second",
        "burst, units",
        "15 s before",
        "first 15 s",
        "next 45 s",
        "unreported at its end, bursts per customer",
        "15 s after",
    )
    for gateway_set_size in GATEWAY_SET_SIZES:
        for request_rate in REQUEST_RATES:
            print_row(
                gateway_set_size,
                request_rate,
                PLAN_RATE,
                BURST,
                *measure_outage(gateway_set_size, request_rate),
            )


def measure_outage(gateway_set_size: int, request_rate: float) -> list[float]:
    """Return the forwarded fraction of the quota in each phase, and the unreported usage.

    The unreported usage is the last item but one: bursts per customer at the end of the outage.
    """
    fleet = VirtualFleet(gateway_set_size, metered_plan(PLAN_RATE, BURST))
    for number in range(CUSTOMERS):
        fleet.add_customer(f"{number:016x}", request_rate, list(range(gateway_set_size)))
    fleet.run(WARM_UP_S)
    figures: list[float] = []
    for phase in PHASES:
        if phase.is_counter_up and not fleet.is_counter_up:
            figures.append(unreported_usage(fleet.policies) / BURST / CUSTOMERS)
        fleet.is_counter_up = phase.is_counter_up
        forwarded_before = fleet.counts["forwarded"]
        fleet.run(phase.seconds)
        forwarded = fleet.counts["forwarded"] - forwarded_before
        figures.append(forwarded / (PLAN_RATE * phase.seconds * CUSTOMERS))
    return figures
