"""Scenario `cut`: all gateways of customers lose the counter: what is forwarded, and what is owed after."""

from __future__ import annotations

from typing import NamedTuple

from .policies import metered_plan
from .policy_internals import unreported_usage
from .tables import print_header, print_row
from .virtual_fleet import VirtualFleet

CUSTOMERS = 12
SPREADS = (2, 12, 100, 400, 1_850)
"""Gateways of a customer."""

REQUEST_RATES = (3.0, 12.0)
"""Requests a second of a customer: its quota, and four times that."""

PLAN_RATE = 3.0
BURST = 6.0

WARM_UP_S = 15


class Phase(NamedTuple):
    """A part of a case: how long it is, and whether the counter can be reached."""

    seconds: int
    is_counter_up: bool


PHASES = (Phase(15, True), Phase(15, False), Phase(45, False), Phase(15, True))
"""Before the outage, its first 15 s, the rest of it, and after."""


def run() -> None:
    """Print a row for each number of gateways and rate of requests."""
    print("Units sent on, as a part of the quota: with the counter, in a cut of 60 s from it, and after")
    print_header(
        "gateways of a customer",
        "asks a second",
        "quota",
        "burst",
        "15 s before",
        "first 15 s",
        "45 s after that",
        "bursts untold at its end",
        "15 s after the cut",
    )
    for spread in SPREADS:
        for request_rate in REQUEST_RATES:
            print_row(spread, request_rate, PLAN_RATE, BURST, *measure(spread, request_rate))


def measure(spread: int, request_rate: float) -> list[float]:
    """Return what each phase forwarded, as a part of the quota, and the unreported bursts before the last."""
    fleet = VirtualFleet(spread, metered_plan(PLAN_RATE, BURST))
    for number in range(CUSTOMERS):
        fleet.add_customer(f"{number:016x}", request_rate, list(range(spread)))
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
