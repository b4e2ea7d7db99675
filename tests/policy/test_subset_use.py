"""How the policy uses its subset: rebuilds by timers, bounded memory and a bounded choice."""

from __future__ import annotations

import random

import pytest

from gateway.policy.actions import SetTimer
from gateway.policy.backend_table import MAX_KNOWN_OUTSIDE
from gateway.policy.backends import Backend
from gateway.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.load_balancing import SAMPLE_SIZE, LoadBalancer
from gateway.policy.policy import GatewayPolicy
from gateway.policy.requests import PendingRequest
from gateway.policy.subsetting import MAX_CHANGES_AT_ONCE
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.endpoints import DRAINING, READY, create_endpoint, ready_endpoints
from tests.support.policy_harness import PolicyHarness, attempts_in
from tests.support.policy_settings import IDEMPOTENT, SAFETY_RULES, WITH_KEY, settings
from tests.support.reference_subset import FLEET_SIZE, ReferenceSubset

GATEWAY_INDEX = 1_234
PART_SIZE = 64
"""Endpoints in a part of a snapshot."""


def deliver_snapshot(gateway: GatewayPolicy, list_length: int) -> None:
    """A snapshot in parts; the rebuild of a long list begins with its last part, and goes on by timers."""
    rebuild_timer = SetTimer(0.0, TimerToken(TimerKind.BUILD_ORDER))
    for start in range(0, list_length, PART_SIZE):
        part = tuple(ready_endpoints(range(start, min(list_length, start + PART_SIZE))))
        is_last = start + PART_SIZE >= list_length
        update = EndpointUpdate(UpdateKind.SNAPSHOT, part, is_first=start == 0, is_last=is_last)
        actions = gateway.handle(1_000.0, update)
        assert actions == ([rebuild_timer] if is_last and list_length > MAX_CHANGES_AT_ONCE else [])
    while actions:
        actions = gateway.handle(1_000.0, TimerFired(rebuild_timer.token))


def create_gateway(list_length: int) -> GatewayPolicy:
    """A gateway of a large fleet that has a list of that length."""
    gateway = GatewayPolicy(
        settings(
            gateway_index=GATEWAY_INDEX,
            gateway_count=FLEET_SIZE,
            safety_rules=SAFETY_RULES,
            request_classes=(IDEMPOTENT, WITH_KEY),
        ),
        seed=1,
    )
    deliver_snapshot(gateway, list_length)
    return gateway


def test_the_rebuild_of_a_long_list_goes_on_as_its_timer_fires() -> None:
    reference = ReferenceSubset(GATEWAY_INDEX, FLEET_SIZE)
    reference.apply(UpdateKind.SNAPSHOT, ready_endpoints(range(5_000)))

    gateway = create_gateway(5_000)

    assert [b.id for b in gateway.subset] == reference.backend_ids()


def test_statistics_are_kept_of_backends_in_use_only() -> None:
    gateway = create_gateway(9_000)
    rng = random.Random(3)
    assert len(gateway.backends.known) == len(gateway.subset) < 100

    for number in range(9_000):
        change = create_endpoint(rng.randrange(9_000), rng.choice((READY, DRAINING)))
        gateway.handle(2_000.0 + number, EndpointUpdate(UpdateKind.DELTA, (change,)))
        assert len(gateway.backends.known) <= len(gateway.subset) + MAX_KNOWN_OUTSIDE + 1

    assert all(gateway.backends.known[b.id] is b for b in gateway.subset)


def test_a_retry_with_an_idempotency_key_finds_its_cell_outside_the_subset() -> None:
    """The subset of a long list holds few backends of a cell, or none."""
    world = PolicyHarness(
        [create_endpoint(1)],
        gateway_index=3,
        gateway_count=FLEET_SIZE,
        request_classes=(IDEMPOTENT, WITH_KEY),
    )
    world.deliver(EndpointUpdate(UpdateKind.SNAPSHOT, tuple(ready_endpoints(range(2_000), cells=100))))
    world.pass_time(10)
    (first,) = attempts_in(world.request("order"))

    (retry,) = attempts_in(world.end_attempt(first, Outcome.CONNECTION_RESET, request_finished=False))

    assert retry.backend_id % 100 == first.backend_id % 100
    assert retry.backend_id != first.backend_id


@pytest.mark.parametrize(("list_length", "scored"), [(200, 12), (15_000, 59), (39_000, SAMPLE_SIZE)])
def test_a_choice_scores_a_bounded_number_of_backends(
    list_length: int, scored: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Danger: the subset grows with the list, and each request would weigh all of it."""
    gateway = create_gateway(list_length)
    costs: list[int] = []
    cost = LoadBalancer.cost

    def counted(self: LoadBalancer, now: float, b: Backend, request: PendingRequest) -> float:
        costs.append(b.id)
        return cost(self, now, b, request)

    monkeypatch.setattr(LoadBalancer, "cost", counted)
    used: set[int] = set()
    weighed: set[int] = set()

    for number in range(300):
        costs.clear()
        arrived = RequestArrived(f"r{number}", "view", "free", "c", 9_000.0, 1.0, 2, 0)
        (sent,) = attempts_in(gateway.handle(2_000.0 + number, arrived))
        assert len(costs) == scored
        weighed.update(costs)
        used.add(sent.backend_id)
        ended = AttemptEnded(sent.request_id, 0, sent.backend_id, Outcome.OK, 5.0, True)
        gateway.handle(2_001.0 + number, ended)

    assert weighed == {b.id for b in gateway.subset}, "each of the subset has its chances"
    assert len(used) > min(60, 0.8 * len(gateway.subset))
