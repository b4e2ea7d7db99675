"""The probes behind docs/CAPACITY.md measure what they say."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

from gateway.policy.settings import Plan

SPEC = importlib.util.spec_from_file_location(
    "slopes", Path(__file__).parents[2] / "benchmarks" / "slopes.py"
)
assert SPEC is not None and SPEC.loader is not None
slopes = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(slopes)


def test_a_customer_spread_thin_costs_a_call_for_each_request_and_more_is_not_sent_on_than_its_quota() -> (
    None
):
    loop = slopes.Loop(30, Plan("plan", rate=2.0, burst=4.0, over_quota_cost=1.0))
    loop.customer("0123456789abcdef", 8.0, list(range(30)))
    loop.play(30)
    assert loop.seen["calls"] > loop.seen["asked"] > 150
    assert loop.seen["sent"] <= 2.0 * 30 + 4.0
    assert 60 < loop.seen["bytes"] / loop.seen["calls"] < 90


def test_all_known_customers_are_served_and_kept() -> None:
    known = slopes.Customers(50, 2, 12, True)
    known.ask(range(50))
    known.forget()
    assert len(known.gateway.leases.by_customer) == 51  # with the one that asks last
    assert not known.gateway.requests and not known.gateway.usage.calls


def test_a_choice_is_made_among_the_whole_slice() -> None:
    busy = slopes.Busy(12, failing=0.2)
    busy.serve(400)
    busy.choose(3)
    assert len(busy.gateway.subset) == 12
    assert len(busy.gateway.retries.attempts) == 20


def test_each_probe_is_a_command(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    monkeypatch.setattr(sys, "argv", ["slopes.py", "starts"])
    slopes.main()
    assert [line.split(" | ")[0] for line in capsys.readouterr().out.splitlines()[3:]] == [
        "| 40",
        "| 200",
        "| 3700",
    ]
