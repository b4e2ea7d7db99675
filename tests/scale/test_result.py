"""Tests of the verdict of a run."""

from __future__ import annotations

import pytest

from scale.figures import LatencySummary
from scale.result import Goal, Result


@pytest.mark.parametrize(
    ("measured", "p99_ms", "max_ms", "is_lower_bound", "verdict"),
    [
        pytest.param(0.1, 1.0, 2.0, False, "met", id="at the limit"),
        pytest.param(0.11, 1.0, 2.0, False, "not met", id="over the limit"),
        pytest.param(0.05, 1.0, 2.0, True, "not met", id="timed out"),
        pytest.param(None, 1.0, 2.0, False, None, id="not measured"),
        pytest.param(0.05, 20.1, 2.0, False, None, id="fakes often late"),
        pytest.param(0.05, 1.0, 251.0, False, None, id="fakes late once"),
    ],
)
def test_the_verdict_follows_goals_and_timer_lag(
    measured: float | None, p99_ms: float, max_ms: float, is_lower_bound: bool, verdict: str | None
) -> None:
    result = Result(scenario="control", options={}, programs={}, machine={})
    result.goals["."] = [
        Goal(name="one change", unit="ms", limit=0.1, measured=measured, is_lower_bound=is_lower_bound),
        Goal(name="a list", unit="ms", limit=5.0, measured=None),
    ]

    result.record_lag("discovery", LatencySummary(count=100, p50_ms=0.1, p99_ms=p99_ms, max_ms=max_ms))

    assert result.verdict() == verdict
    assert (result.verdict() is None) == bool(result.no_verdict_reason())
