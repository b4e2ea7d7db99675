"""Slow start bounds the load that all gateways together send to a backend that is warming up.

The bound: in a time window in which the settings allow a backend N requests of mean work, it may receive at
most N + 2 * sqrt(N) + 2 of them, however many gateways send them. The excess over N allows for random
variation.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

import pytest

from tests.support.fleet import CountKey, FleetEvent
from tests.support.fleet_customers import MS_PER_S
from tests.support.slow_start_fleet import (
    LONG_WORK,
    DrawWork,
    ReceivedAttempt,
    Scenario,
    SlowStartFleet,
    mean_work,
    uneven_work,
)

WARM_TIME_S = 1
"""Seconds for which all backends are warm before some of them restart."""


@dataclass
class Observation:
    """The time window with the highest budget use of a restarted backend, and counts of the scenario."""

    budget_use: float = 0.0
    """Work received in that window, as a fraction of the budget."""
    work: float = 0.0
    """Work received in that window, in requests of mean work."""
    age_ms: float = 0.0
    """Age of the backend at the end of that window, in milliseconds."""
    attempts: int = 0
    """Attempts that restarted backends received."""
    long_attempts: int = 0
    """Attempts of long requests that restarted backends received."""
    hedges: int = 0
    """Hedged attempts at all backends."""
    retries: int = 0
    """Retries at all backends."""


def observe(scenario: Scenario, seed: int, draw_work: DrawWork) -> Observation:
    """Play a scenario until restarted backends are warm; return the window with the highest budget use."""
    fleet = SlowStartFleet(scenario, seed, draw_work)
    fleet.run(WARM_TIME_S)
    fleet.restart_backends()
    counts = fleet.run(scenario.slow_start_ms / MS_PER_S)
    observation = Observation(
        hedges=counts[CountKey(FleetEvent.HEDGED)], retries=counts[CountKey(FleetEvent.RETRIED)]
    )
    for received in fleet.received_by_backend.values():
        observe_backend(scenario, received, observation)
    return observation


def observe_backend(scenario: Scenario, received: list[ReceivedAttempt], observation: Observation) -> None:
    """Slide a time window over a backend's attempts; record where its budget use is the highest."""
    window: deque[ReceivedAttempt] = deque()
    work_in_window = 0.0
    for attempt in received:
        observation.attempts += 1
        observation.long_attempts += attempt.work >= LONG_WORK
        work_in_window += attempt.work
        window.append(attempt)
        window_start = attempt.age_ms - scenario.window_ms
        while window[0].age_ms <= window_start:
            work_in_window -= window.popleft().work
        # The budget grows with the age of the backend; the one at the start of the window is the strictest.
        budget_use = work_in_window / scenario.work_budget(window_start)
        if budget_use > observation.budget_use:
            observation.budget_use = budget_use
            observation.work = work_in_window
            observation.age_ms = attempt.age_ms


SCENARIOS = [
    pytest.param(Scenario(20, 14, restarted_count=8, faulty_count=2), 6, id="20"),
    pytest.param(Scenario(30, 14, restarted_count=8, faulty_count=2), 6, id="30"),
    pytest.param(
        Scenario(
            30,
            18,
            restarted_count=6,
            faulty_count=2,
            initial_capacity=0.15,
            overload_multiple=3.0,
            window_ms=3_000.0,
        ),
        4,
        id="30-others",
    ),
    pytest.param(Scenario(200, 48, restarted_count=28, faulty_count=4), 3, id="200"),
]
"""Scenarios, each with the number of seeds it is played with; an id begins with the number of gateways."""


@pytest.mark.parametrize("draw_work", [mean_work, uneven_work])
@pytest.mark.parametrize(("scenario", "seed_count"), SCENARIOS)
def test_all_gateways_together_keep_the_budget_of_a_backend_in_slow_start(
    scenario: Scenario, seed_count: int, draw_work: DrawWork
) -> None:
    """A little load from each gateway may add up to an overload of a backend that is warming up."""
    observations = [observe(scenario, seed, draw_work) for seed in range(1, seed_count + 1)]

    worst = max(observations, key=lambda observation: observation.budget_use)
    assert worst.budget_use <= 1.0, f"a restarted backend got {worst.budget_use:.2f} of its budget: {worst}"
    for observation in observations:
        assert observation.attempts > 8 * scenario.restarted_count / 2, "restarted backends were left out"
        assert observation.hedges
        assert observation.retries
        assert observation.long_attempts or draw_work is mean_work


def test_the_budget_follows_the_stated_formula() -> None:
    scenario = Scenario(
        20,
        14,
        restarted_count=8,
        faulty_count=0,
        capacity=20.0,
        initial_capacity=0.2,
        overload_multiple=4.0,
    )

    assert scenario.work_budget(-500.0) == 16 + 2 * 4 + 2
    assert scenario.work_budget(0.0) == 16 + 2 * 4 + 2
    assert scenario.work_budget(scenario.slow_start_ms) == pytest.approx(80 + 2 * math.sqrt(80) + 2)
