"""The choice of a backend: the endpoint list, slow start and the subset of a large fleet."""

from __future__ import annotations

from gateway.policy.actions import SetTimer, StartAttempt, WatchEndpoints
from gateway.policy.events import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    TimerFired,
    UpdateKind,
)
from gateway.policy.settings import Plan
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.endpoints import create_endpoint, delta, snapshot
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    backends_used,
    only_attempt_in,
    rejections_in,
    serve_steadily,
)


def further_attempts(entries: list[Endpoint]) -> list[int]:
    """Where the second attempts go of requests whose first one may have run."""
    went = []
    for seed in range(40):
        w = PolicyHarness(entries, seed=seed, plans=(Plan("free"),))
        for number in range(5):
            for first in attempts_in(w.request(plan="free", customer=f"c{number}")):
                went += [
                    again.backend_id
                    for again in attempts_in(
                        w.end_attempt(first, Outcome.CONNECTION_RESET, request_finished=False)
                    )
                ]
            w.pass_time(100)
    return went


def test_an_empty_endpoint_list_rejects_at_once() -> None:
    w = PolicyHarness.without_quotas()
    w.deliver(snapshot())
    assert rejections_in(w.request())
    assert not attempts_in(w.request())


def test_draining_and_removed_backends_get_nothing_new() -> None:
    w = PolicyHarness.without_quotas()
    w.deliver(delta(create_endpoint(1, EndpointState.DRAINING)))
    w.deliver(delta(create_endpoint(2, EndpointState.REMOVED)))
    assert backends_used(w, 5) == {3}


def test_a_snapshot_removes_the_backends_that_it_omits() -> None:
    w = PolicyHarness.without_quotas()
    w.deliver(snapshot(create_endpoint(2)))
    assert backends_used(w, 5) == {2}


def test_a_failed_watch_keeps_the_last_list_and_is_opened_again_later() -> None:
    w = PolicyHarness.without_quotas(polls_endpoints=True)
    w.deliver(EndpointUpdate(UpdateKind.WATCH_FAILED, ()))
    assert only_attempt_in(w.request())
    timers = [
        a for _, a in w.log if isinstance(a, SetTimer) and a.token == TimerToken(TimerKind.WATCH_ENDPOINTS)
    ]
    assert timers
    assert any(
        isinstance(a, WatchEndpoints) for a in w.deliver(TimerFired(TimerToken(TimerKind.WATCH_ENDPOINTS)))
    )


def test_each_gateway_of_a_large_fleet_uses_few_backends_and_all_are_covered_evenly() -> None:
    """Danger: met once a minute each, no backend can be judged."""
    fleet, met = [create_endpoint(i) for i in range(70)], dict.fromkeys(range(70), 0)
    for index in range(300):
        w = PolicyHarness.without_quotas(fleet, gateway_count=300, gateway_index=index)
        assert 8 <= len(w.policy.subset) <= 16
        for b in w.policy.subset:
            met[b.id] += 1
    assert min(met.values()) >= 0.6 * 300 * 8 / 70
    assert max(met.values()) <= 1.4 * 300 * 8 / 70


def test_forty_gateways_use_few_backends_each_and_keep_them_when_others_change() -> None:
    """Danger: sixty backends met once in ten seconds are never judged, and each request pays a handshake."""
    fleet = [create_endpoint(i) for i in range(60)]
    worlds = [
        PolicyHarness.without_quotas(fleet, gateway_count=40, gateway_index=index) for index in range(40)
    ]
    before = [{b.id for b in w.policy.subset} for w in worlds]
    met = [sum(i in used for used in before) for i in range(60)]
    assert all(len(used) <= 20 for used in before)
    assert min(met) >= 8
    assert max(met) <= 12
    for w in worlds:
        w.deliver(delta(create_endpoint(60), create_endpoint(61), create_endpoint(62)))
    kept = [len({b.id for b in w.policy.subset} & used) for w, used in zip(worlds, before, strict=True)]
    assert sum(kept) >= 0.8 * sum(map(len, before))


def test_a_fleet_that_is_all_cold_serves_a_little_and_then_all() -> None:
    w = PolicyHarness.without_quotas(
        [
            create_endpoint(1, started_at=9_900),
            create_endpoint(2, started_at=9_900),
            create_endpoint(3, started_at=9_900),
        ]
    )
    served = [0, 0]
    for half in (0, 1):
        for _ in range(100):
            for send in attempts_in(w.request()):
                served[half] += 1
                w.end_attempt(send)
            w.pass_time(105)
    assert 10 < served[0] < 70
    assert served[1] == 100


def test_any_number_of_cold_backends_gets_less_than_it_surely_can_do() -> None:
    """Danger: many gateways, each with a little for a cold backend, push it over together."""
    hits = 0
    for index in range(200):
        w = PolicyHarness.without_quotas(
            [create_endpoint(i, started_at=9_990 if i == 5 else 0) for i in range(20)],
            seed=index,
            gateway_count=200,
            gateway_index=index,
        )
        for _ in range(10):
            send = only_attempt_in(w.request())
            hits += send.backend_id == 5
            w.end_attempt(send)
    assert hits <= 0.2 * 2000 / 20


def test_a_cold_backend_gets_little_until_it_is_warm() -> None:
    """Danger: a cold backend sent a warm one's load by every gateway falls over and stays down."""
    w = PolicyHarness.without_quotas([create_endpoint(1), create_endpoint(2), create_endpoint(3)])
    serve_steadily(w, 400)
    w.deliver(delta(create_endpoint(9, started_at=w.now - 100)))
    early = [only_attempt_in(w.request()) for _ in range(1)]
    w.end_attempt(early[0])
    mark = w.now
    serve_steadily(w, 50)
    counts = [a.backend_id for t, a in w.log if t >= mark and isinstance(a, StartAttempt)]
    assert counts.count(9) <= 0.25 * 0.5 * len(counts)
    w.pass_time(11_000)
    assert 9 in backends_used(w, 40)


def test_retries_of_what_may_have_run_go_to_warm_backends_where_there_are_some() -> None:
    """Danger: where many fail, further attempts of all gateways come on top of a cold one's part."""
    cold = [create_endpoint(number, started_at=5_000) for number in range(10, 16)]  # half warm
    warm = [create_endpoint(1), create_endpoint(2)]
    assert set(further_attempts([*warm, *cold])) == {1, 2}
    assert further_attempts(cold), "and where there are none, to cold ones"
