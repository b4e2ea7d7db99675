"""Measure the marginal cost of a customer, a listed backend and a counter call, for docs/CAPACITY.md.

    python benchmarks/slopes.py SCENARIO

Each scenario is a module of the package `capacity_slopes` in the same directory.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import NamedTuple

from capacity_slopes import (
    backend_choice,
    backend_statistics,
    counter_calls,
    counter_outage,
    discovery_starts,
    known_customers,
    listed_backends,
)

DESCRIPTION = "Measure what each further customer, listed backend or counter call costs a gateway."


class Scenario(NamedTuple):
    """A scenario: the function that runs it, and its description in the help of the command line."""

    run: Callable[[], None]
    description: str


SCENARIOS = {
    "customers": Scenario(known_customers.run, "memory and processor time of each known customer"),
    "scores": Scenario(backend_statistics.run, "memory of a backend's outlier scores, by request classes"),
    "pick": Scenario(
        backend_choice.run, "processor time of a choice and of a request, by size of the subset"
    ),
    "entry": Scenario(listed_backends.run, "bytes, memory and processor time of each listed backend"),
    "counter": Scenario(counter_calls.run, "counter calls per request, by size of the gateway set"),
    "starts": Scenario(discovery_starts.run, "calls of a polled discovery when all gateways start"),
    "outage": Scenario(counter_outage.run, "requests forwarded while the counter cannot be reached"),
}


def main() -> None:
    """Run the scenario that is given on the command line."""
    parser = argparse.ArgumentParser(description=DESCRIPTION)
    scenarios = parser.add_subparsers(dest="scenario", metavar="SCENARIO", required=True)
    for name, scenario in SCENARIOS.items():
        scenarios.add_parser(name, help=scenario.description)
    SCENARIOS[parser.parse_args().scenario].run()


if __name__ == "__main__":
    main()
