"""What one customer, one listed backend or one call more costs a gateway: the slopes of docs/CAPACITY.md.

    python benchmarks/slopes.py customers|marks|pick|entry|counter|starts|cut

The scenarios are the modules of `capacity_slopes`, which lies beside this file.
"""

from __future__ import annotations

import argparse

from capacity_slopes import (
    backend_choice,
    backend_statistics,
    counter_calls,
    counter_outage,
    discovery_starts,
    known_customers,
    listed_backends,
)

SCENARIOS = {
    "customers": known_customers.run,
    "marks": backend_statistics.run,
    "pick": backend_choice.run,
    "entry": listed_backends.run,
    "counter": counter_calls.run,
    "starts": discovery_starts.run,
    "cut": counter_outage.run,
}


def main() -> None:
    """Run the scenario that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=SCENARIOS)
    SCENARIOS[parser.parse_args().what]()


if __name__ == "__main__":
    main()
