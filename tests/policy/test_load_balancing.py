"""The choice of a backend: the endpoint list, slow start and the subset of a large fleet."""

from __future__ import annotations

import pytest

from gateway.policy.actions import SetTimer, StartAttempt, WatchEndpoints
from gateway.policy.events import Endpoint, EndpointUpdate, Outcome, TimerFired, UpdateKind
from gateway.policy.settings import Plan
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.endpoints import DRAINING, REMOVED, create_endpoint, delta, ready_endpoints, snapshot
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    backends_used,
    only_attempt_in,
    rejections_in,
    serve_steadily,
)
from tests.support.policy_settings import SAFETY_RULES

FREE = Plan("free")
WATCH_TIMER = TimerToken(TimerKind.WATCH_ENDPOINTS)


def subset_ids(harness: PolicyHarness) -> set[int]:
    backend_ids = [backend.id for backend in harness.policy.subset]
    assert len(backend_ids) == len(set(backend_ids))
    return set(backend_ids)


def create_fleet(gateway_count: int, endpoints: list[Endpoint]) -> list[PolicyHarness]:
    """Create all gateways of a fleet, with the same endpoint list."""
    return [
        PolicyHarness.without_quotas(endpoints, gateway_count=gateway_count, gateway_index=index)
        for index in range(gateway_count)
    ]


def test_an_empty_endpoint_list_rejects_at_once(unlimited_harness: PolicyHarness) -> None:
    unlimited_harness.deliver(snapshot())

    actions = unlimited_harness.request()

    assert rejections_in(actions)
    assert not attempts_in(actions)
    assert not attempts_in(unlimited_harness.request())


def test_draining_and_removed_backends_get_no_attempts(unlimited_harness: PolicyHarness) -> None:
    unlimited_harness.deliver(delta(create_endpoint(1, DRAINING)))
    unlimited_harness.deliver(delta(create_endpoint(2, REMOVED)))

    assert backends_used(unlimited_harness, 5) == {3}


def test_a_snapshot_removes_the_backends_that_it_omits(unlimited_harness: PolicyHarness) -> None:
    unlimited_harness.deliver(snapshot(create_endpoint(2)))

    assert backends_used(unlimited_harness, 5) == {2}


def test_a_failed_watch_keeps_the_last_endpoint_list() -> None:
    harness = PolicyHarness.without_quotas(polls_endpoints=True)

    harness.deliver(EndpointUpdate(UpdateKind.WATCH_FAILED, ()))

    assert only_attempt_in(harness.request())


def test_a_failed_watch_is_opened_again_by_a_timer() -> None:
    harness = PolicyHarness.without_quotas(polls_endpoints=True)

    harness.deliver(EndpointUpdate(UpdateKind.WATCH_FAILED, ()))

    timers = [action for action in harness.actions if isinstance(action, SetTimer)]
    assert any(timer.token == WATCH_TIMER for timer in timers)
    actions = harness.deliver(TimerFired(WATCH_TIMER))
    assert any(isinstance(action, WatchEndpoints) for action in actions)


def test_each_gateway_of_a_large_fleet_uses_few_backends_and_all_are_covered_evenly() -> None:
    """A gateway that uses each backend only once a minute cannot detect an outlier."""
    backend_count = 70
    gateway_count = 300
    fleet = create_fleet(gateway_count, ready_endpoints(range(backend_count), cells=1))

    subsets = [subset_ids(harness) for harness in fleet]

    assert all(8 <= len(subset) <= 16 for subset in subsets)
    gateways_per_backend = [
        sum(backend_id in subset for subset in subsets) for backend_id in range(backend_count)
    ]
    assert min(gateways_per_backend) >= 0.6 * gateway_count * 8 / backend_count
    assert max(gateways_per_backend) <= 1.4 * gateway_count * 8 / backend_count


def test_forty_gateways_use_few_backends_each_and_cover_all_evenly() -> None:
    """A backend used only once in ten seconds cannot be scored, and each attempt there opens a connection."""
    fleet = create_fleet(40, ready_endpoints(range(60), cells=1))

    subsets = [subset_ids(harness) for harness in fleet]

    gateways_per_backend = [sum(backend_id in subset for subset in subsets) for backend_id in range(60)]
    assert all(len(subset) <= 20 for subset in subsets)
    assert min(gateways_per_backend) >= 8
    assert max(gateways_per_backend) <= 12


def test_a_subset_hardly_changes_with_new_backends() -> None:
    fleet = create_fleet(40, ready_endpoints(range(60), cells=1))
    subsets_before = [subset_ids(harness) for harness in fleet]

    for harness in fleet:
        harness.deliver(delta(create_endpoint(60), create_endpoint(61), create_endpoint(62)))

    subsets_after = [subset_ids(harness) for harness in fleet]
    retained_counts = [
        len(before & after) for before, after in zip(subsets_before, subsets_after, strict=True)
    ]
    assert sum(retained_counts) >= 0.8 * sum(map(len, subsets_before))


def count_served(harness: PolicyHarness, request_count: int) -> int:
    """Send `request_count` requests, end their attempts at once, and return the number of attempts."""
    served = 0
    for _ in range(request_count):
        for attempt in attempts_in(harness.request()):
            served += 1
            harness.end_attempt(attempt)
        harness.pass_time(105)
    return served


def test_a_gateway_whose_backends_all_warm_up_serves_few_requests_and_then_all() -> None:
    started_at = 9_900.0  # 100 ms before the first request
    harness = PolicyHarness.without_quotas(
        [create_endpoint(backend_id, started_at=started_at) for backend_id in (1, 2, 3)]
    )

    served_first = count_served(harness, 100)
    served_then = count_served(harness, 100)

    assert 10 < served_first < 70
    assert served_then == 100


def test_all_gateways_together_send_a_new_backend_less_than_its_initial_capacity() -> None:
    """Slow start must bound the total load: a little from each of many gateways adds up to an overload."""
    new_backend = 5
    backend_count = 20
    gateway_count = 200
    requests_per_gateway = 10
    endpoints = ready_endpoints(range(backend_count), cells=1)
    endpoints[new_backend] = create_endpoint(new_backend, started_at=9_990)
    attempts = []

    for index in range(gateway_count):
        harness = PolicyHarness.without_quotas(
            endpoints, seed=index, gateway_count=gateway_count, gateway_index=index
        )
        for _ in range(requests_per_gateway):
            attempt = only_attempt_in(harness.request())
            harness.end_attempt(attempt)
            attempts.append(attempt.backend_id)

    mean_attempts_per_backend = gateway_count * requests_per_gateway / backend_count
    assert attempts.count(new_backend) <= SAFETY_RULES.initial_capacity * mean_attempts_per_backend


def test_a_new_backend_gets_few_attempts_until_it_has_warmed_up(unlimited_harness: PolicyHarness) -> None:
    """A backend that gets its full load while it warms up fails, and fails again after each restart."""
    harness = unlimited_harness
    new_backend = 9
    serve_steadily(harness, 400)
    harness.deliver(delta(create_endpoint(new_backend, started_at=harness.now - 100)))
    log_length = len(harness.timed_actions)

    harness.end_attempt(only_attempt_in(harness.request()))
    serve_steadily(harness, 50)

    attempts = [
        action for _, action in harness.timed_actions[log_length:] if isinstance(action, StartAttempt)
    ]
    attempts_at_new_backend = [attempt for attempt in attempts if attempt.backend_id == new_backend]
    assert len(attempts_at_new_backend) <= 0.25 * 0.5 * len(attempts)

    harness.pass_time(11_000)

    assert new_backend in backends_used(harness, 40)


def retry_backends(endpoints: list[Endpoint]) -> set[int]:
    """Return the ids of the backends that get the retries of attempts that may have run."""
    used: set[int] = set()
    for seed in range(40):
        harness = PolicyHarness(endpoints, seed=seed, plans=(FREE,))
        for number in range(5):
            for first in attempts_in(harness.request(plan=FREE.name, customer=f"c{number}")):
                retries = harness.end_attempt(first, Outcome.CONNECTION_RESET, request_finished=False)
                used.update(retry.backend_id for retry in attempts_in(retries))
            harness.pass_time(100)
    return used


@pytest.fixture
def warming_endpoints() -> list[Endpoint]:
    """Backends that are halfway through their slow start when the harness starts."""
    return [create_endpoint(backend_id, started_at=5_000) for backend_id in range(10, 16)]


def test_retries_of_attempts_that_may_have_run_go_to_warm_backends(
    warming_endpoints: list[Endpoint],
) -> None:
    """While many attempts fail, the retries of all gateways would add to the load of a warming backend."""
    warm_endpoints = [create_endpoint(1), create_endpoint(2)]

    assert retry_backends([*warm_endpoints, *warming_endpoints]) == {1, 2}


def test_retries_go_to_warming_backends_where_no_other_is_ready(warming_endpoints: list[Endpoint]) -> None:
    assert retry_backends(warming_endpoints)
