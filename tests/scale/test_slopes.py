"""Tests that the benchmarks behind docs/CAPACITY.md measure what their tables state."""

from __future__ import annotations

import sys

import pytest
import slopes
from capacity_slopes.backend_choice import BusyGateway
from capacity_slopes.known_customers import SHARED_BUCKETS, GatewayWithKnownCustomers
from capacity_slopes.policies import metered_plan
from capacity_slopes.policy_internals import (
    known_customer_count,
    open_attempt_count,
    open_request_count,
    pending_counter_name_count,
    subset_size,
)
from capacity_slopes.virtual_fleet import VirtualFleet


@pytest.fixture
def thinly_spread_counts() -> dict[str, int]:
    """Return the counts of 30 s in which a customer of 30 gateways demands four times its quota."""
    fleet = VirtualFleet(30, metered_plan(rate=2.0, burst=4.0))
    fleet.add_customer("0123456789abcdef", 8.0, list(range(30)))
    fleet.run(30)
    return fleet.counts


def test_a_thinly_spread_customer_costs_a_counter_call_for_each_request(
    thinly_spread_counts: dict[str, int],
) -> None:
    assert thinly_spread_counts["counter calls"] > thinly_spread_counts["requests"] > 150


def test_no_more_of_a_thinly_spread_customer_is_forwarded_than_its_quota(
    thinly_spread_counts: dict[str, int],
) -> None:
    assert thinly_spread_counts["forwarded"] <= 2.0 * 30 + 4.0


def test_a_counter_call_takes_some_75_bytes(thinly_spread_counts: dict[str, int]) -> None:
    assert 60 < thinly_spread_counts["counter bytes"] / thinly_spread_counts["counter calls"] < 90


def test_all_known_customers_are_served_and_remembered() -> None:
    gateway = GatewayWithKnownCustomers(50, SHARED_BUCKETS, counter_available=True)

    gateway.send_requests(range(50))
    gateway.search_idle_customers()

    # The count includes the customer whose request triggers the search.
    assert known_customer_count(gateway.policy) == 51
    assert open_request_count(gateway.policy) == 0
    assert pending_counter_name_count(gateway.policy) == 0


def test_a_choice_is_made_among_all_backends_of_the_subset() -> None:
    gateway = BusyGateway(12, failure_rate=0.2)

    gateway.serve(400)
    gateway.choose(3)

    assert subset_size(gateway.policy) == 12
    assert open_attempt_count(gateway.policy) == 20


def test_a_scenario_is_a_command(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr(sys, "argv", ["slopes.py", "starts"])

    slopes.main()

    rows = capsys.readouterr().out.splitlines()[3:]
    assert [row.split(" | ")[0] for row in rows] == ["| 40", "| 200", "| 3700"]
