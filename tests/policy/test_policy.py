"""Backend choice, health, further attempts, overload and the guards of the five rules, without the bench."""

from __future__ import annotations

import math

import pytest

from gateway.policy.actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt, WatchEndpoints
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    PeerMessage,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from gateway.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.policy_harness import BASIC, World, backends, entry, refusals, sends

WIDE = Plan("basic")  # no quota, so that only the back end decides
OPEN = dict(plans=(WIDE,), counter_available=False)


def world(*entries: Endpoint, **changes: object) -> World:
    return World(entries, **{**OPEN, **changes})


def one(actions: list[Action]) -> StartAttempt:
    (send,) = sends(actions)
    return send


def served_by(w: World, tries: int) -> set[int]:
    used = set()
    for _ in range(tries):
        send = one(w.ask())
        w.pass_time(20)
        w.end(send)
        used.add(send.backend_id)
        w.pass_time(20)
    return used


def warm_up(w: World, rounds: int = 60, gap: float = 20, lag: float = 20) -> None:
    for _ in range(rounds):
        send = one(w.ask())
        w.pass_time(lag)
        w.end(send)
        w.pass_time(gap)


def test_an_empty_list_refuses_at_once() -> None:
    w = world()
    w.give(backends())
    assert refusals(w.ask()) and not sends(w.ask())


def test_draining_and_gone_backends_get_nothing_new() -> None:
    w = world()
    w.give(backends(entry(1, EndpointState.DRAINING), scope=UpdateKind.DELTA))
    w.give(backends(entry(2, EndpointState.REMOVED), scope=UpdateKind.DELTA))
    assert served_by(w, 5) == {3}


def test_a_full_list_removes_what_it_omits() -> None:
    w = world()
    w.give(backends(entry(2)))
    assert served_by(w, 5) == {2}


def test_a_failed_list_keeps_the_old_one_and_asks_again_later() -> None:
    w = world(polls_endpoints=True)
    w.give(EndpointUpdate(UpdateKind.WATCH_FAILED, ()))
    assert one(w.ask())
    timers = [
        a for _, a in w.log if isinstance(a, SetTimer) and a.token == TimerToken(TimerKind.WATCH_ENDPOINTS)
    ]
    assert timers
    assert any(
        isinstance(a, WatchEndpoints) for a in w.give(TimerFired(TimerToken(TimerKind.WATCH_ENDPOINTS)))
    )


def test_failing_backend_is_avoided_and_later_retested() -> None:
    w = world()
    warm_up(w)
    bad, shares = 1, []
    for _ in range(2):
        hits = 0
        for _ in range(60):
            send = one(w.ask())
            while True:
                hits += send.backend_id == bad
                w.pass_time(20)
                outcome = Outcome.FAILED if send.backend_id == bad else Outcome.OK
                again = sends(
                    w.end(send, outcome, attempt=0 if send.backend_id == bad else w_attempt(w, send))
                )
                if not again:
                    break
                send = again[0]
        shares.append(hits)
    assert shares[0] <= 10 and shares[1] <= 10
    w.pass_time(20_000)
    assert bad in served_by(w, 40)


def w_attempt(w: World, send: StartAttempt) -> int:
    return sum(1 for _, a in w.log if isinstance(a, StartAttempt) and a.request_id == send.request_id) - 1


def test_silent_backend_is_left_while_its_peers_answer() -> None:
    w = world()
    warm_up(w)
    hung = 0
    for _ in range(150):
        send = one(w.ask("wipe", life=60_000))
        w.pass_time(50)
        if send.backend_id == 1:
            hung += 1
        else:
            w.end(send)
    assert hung <= 8


def test_overload_is_refused_early_and_the_lesser_class_first() -> None:
    """Danger: told by latency, overload is seen a whole queue too late, and so is its end."""
    w = world()
    warm_up(w)
    out = []
    while len(out) < 500 and (s := sends(w.ask("view"))):
        out += s
    assert len(out) < 100
    assert sends(w.ask("order")), "the dearer class still goes through"
    while sends(w.ask("order")):
        pass
    for send in out:
        w.end(send)
    w.pass_time(100)
    assert sends(w.ask("view")), "refusals end as soon as the load has gone"


def test_a_gateway_without_answers_lets_requests_through() -> None:
    """Danger: in a large fleet the floor fell under one request: no request, no answer, for ever."""
    w = world(gateway_count=1000)
    assert len(sends(w.ask()) + sends(w.ask())) == 2


def test_not_run_is_sent_again_elsewhere() -> None:
    w = world()
    for name in ("view", "order", "wipe"):
        first = one(w.ask(name))
        again = one(w.end(first, Outcome.CONNECT_ERROR))
        assert again.backend_id != first.backend_id


def test_unsafe_that_may_have_run_is_never_sent_again_nor_refused() -> None:
    for outcome in (Outcome.FAILED, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT):
        w = world()
        send = one(w.ask("wipe"))
        assert w.end(send, outcome) == [Fail(send.request_id)]


def test_keyed_goes_again_only_inside_its_group_and_window() -> None:
    w = world(entry(1, cell=0), entry(2, cell=1), entry(3, cell=0))
    first = one(w.ask("order"))
    same_cell = {1: {3}, 3: {1}, 2: set()}[first.backend_id]
    assert {s.backend_id for s in sends(w.end(first, Outcome.FAILED))} == same_cell
    lone = world(entry(1, cell=0), entry(2, cell=1))
    first = one(lone.ask("order"))
    assert lone.end(first, Outcome.FAILED) == [Fail(first.request_id)]
    late = world(entry(1, cell=0), entry(3, cell=0))
    late.gateway.request_classes["order"] = RequestClass(
        "order", 5000, 9000, 1, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2000
    )
    first = one(late.ask("order", life=9000))
    late.now += 1990
    assert late.end(first, Outcome.FAILED) == [Fail(first.request_id)]


def test_a_keyed_repeat_says_until_when_it_may_begin() -> None:
    """Danger: its connection may come up only after the group has forgotten the first one."""
    w = world(entry(1, cell=0), entry(3, cell=0))
    first = one(w.ask("order"))
    assert first.start_before == math.inf
    begun = w.now
    w.now += 300
    again = one(w.end(first, Outcome.CONNECTION_RESET))
    assert begun + 1_900 < again.start_before < begun + 2_000
    safe = one(w.ask("view"))
    assert safe.start_before == one(w.end(safe, Outcome.CONNECTION_RESET)).start_before == math.inf


@pytest.mark.parametrize(("most", "wait"), [(500.0, 400.0), (100.0, 100.0), (0.0, 0.0)])
def test_what_is_given_up_is_refused_at_once_with_a_retry_after(most: float, wait: float) -> None:
    w = world(max_retry_after_ms=most)
    send, attempt = one(w.ask()), 0
    while batch := sends(ended := w.end(send, Outcome.CONNECT_ERROR, attempt)):
        send, attempt = batch[0], attempt + 1
    assert refusals(ended) == [Reject(send.request_id, wait)] and w.now == 10_000
    spent = world(max_retry_after_ms=most)
    spent.gateway.retries.budget = 0.0
    assert refusals(spent.end(one(spent.ask()), Outcome.CONNECTION_RESET)) == [Reject("r1", wait)]


def test_extra_attempts_stop_when_the_budget_is_spent() -> None:
    w = world()
    sent = asked = 0
    for _ in range(300):
        batch = sends(w.ask())
        asked += 1
        attempt = 0
        while batch:
            sent += 1
            batch = sends(w.end(batch[0], Outcome.FAILED, attempt))
            attempt += 1
        w.pass_time(50)
    assert sent <= asked * 1.6 + 10


def test_every_request_held_is_ended_before_it_expires() -> None:
    w = world()
    send = one(w.ask("wipe", life=3000))
    w.pass_time(2960)
    ends = [(t, a) for t, a in w.log if isinstance(a, Fail) and a.request_id == send.request_id]
    assert len(ends) == 1 and ends[0][0] <= 13_000
    assert w.end(send, Outcome.TIMED_OUT) == []


def test_an_attempt_out_far_longer_than_usual_is_moved_once() -> None:
    """Danger: work done twice for every long request, or a silent backend that is waited for to the end."""
    w = world()
    warm_up(w, lag=50)
    first = one(w.ask(life=60_000))
    assert not [a for a in w.pass_time(430) if isinstance(a, CancelAttempt)]
    assert [a for a in w.pass_time(60) if isinstance(a, CancelAttempt)] == [
        CancelAttempt(first.request_id, 0)
    ]
    again = one(w.end(first, Outcome.CANCELLED))
    assert again.backend_id != first.backend_id


@pytest.mark.parametrize("name", ["view", "order"])
def test_an_attempt_is_not_called_off_where_no_other_may_follow(name: str) -> None:
    """Danger: its answer may be on its way, and the request would be given up for nothing."""
    for lone in (
        world(entry(1)),
        world(entry(1), entry(2, EndpointState.DRAINING)),
        world(entry(1), entry(2), max_attempts=1),
    ):
        warm_up(lone, lag=50)
        one(lone.ask(name))
        assert not [a for a in lone.pass_time(900) if isinstance(a, CancelAttempt | Reject | Fail)]


def test_one_class_unanswered_at_a_backend_is_told_from_the_others() -> None:
    """Danger: a backend that fails one class alone looks half well, and keeps getting that class."""
    w = world(max_attempts=1)
    hits = {"view": 0, "order": 0}
    for i in range(400):
        name = "order" if i % 2 else "view"
        send = one(w.ask(name))
        w.pass_time(20)
        bad = send.backend_id == 1 and name == "order"
        w.end(send, Outcome.FAILED if bad else Outcome.OK)
        hits[name] += send.backend_id == 1 and i > 100
    assert hits["order"] <= 8 and hits["view"] >= 25


def test_each_gateway_of_a_large_fleet_uses_few_backends_and_all_are_covered_evenly() -> None:
    """Danger: met once a minute each, no backend can be judged."""
    fleet, met = [entry(i) for i in range(70)], dict.fromkeys(range(70), 0)
    for index in range(300):
        w = World(fleet, **{**OPEN, "gateway_count": 300, "gateway_index": index})
        assert 8 <= len(w.gateway.subset) <= 16
        for b in w.gateway.subset:
            met[b.id] += 1
    assert min(met.values()) >= 0.6 * 300 * 8 / 70 and max(met.values()) <= 1.4 * 300 * 8 / 70


def test_forty_gateways_meet_few_backends_each_and_keep_them_when_others_change() -> None:
    """Danger: sixty backends met once in ten seconds are never judged, and each request pays a handshake."""
    fleet = [entry(i) for i in range(60)]
    worlds = [World(fleet, **{**OPEN, "gateway_count": 40, "gateway_index": index}) for index in range(40)]
    before = [{b.id for b in w.gateway.subset} for w in worlds]
    met = [sum(i in used for used in before) for i in range(60)]
    assert all(len(used) <= 20 for used in before)
    assert min(met) >= 8 and max(met) <= 12
    for w in worlds:
        w.give(backends(entry(60), entry(61), entry(62), scope=UpdateKind.DELTA))
    kept = [len({b.id for b in w.gateway.subset} & used) for w, used in zip(worlds, before, strict=True)]
    assert sum(kept) >= 0.8 * sum(map(len, before))


def test_a_gateway_with_few_requests_sheds_by_recent_latency() -> None:
    """Danger: three requests out at each of hundreds of gateways fill the servers for longer than the aim."""
    w = world(gateway_count=300)
    for lag in (100, 1500, 100):
        sent = 0
        for i in range(90):
            for send in sends(w.ask()):
                sent += i >= 30
                w.pass_time(lag)
                w.end(send, attempt=w_attempt(w, send))
            w.pass_time(400)
        assert sent < 36 if lag == 1500 else sent > 54


def test_a_fleet_that_is_all_cold_serves_a_little_and_then_all() -> None:
    w = world(entry(1, started=9_900), entry(2, started=9_900), entry(3, started=9_900))
    served = [0, 0]
    for half in (0, 1):
        for _ in range(100):
            for send in sends(w.ask()):
                served[half] += 1
                w.end(send)
            w.pass_time(105)
    assert 10 < served[0] < 70 and served[1] == 100


def test_any_number_of_cold_backends_gets_less_than_it_surely_can_do() -> None:
    """Danger: many gateways, each with a little for a cold backend, push it over together."""
    hits = 0
    for index in range(200):
        w = World(
            [entry(i, started=9_990 if i == 5 else 0) for i in range(20)],
            seed=index,
            **{**OPEN, "gateway_count": 200, "gateway_index": index},
        )
        for _ in range(10):
            send = one(w.ask())
            hits += send.backend_id == 5
            w.end(send)
    assert hits <= 0.2 * 2000 / 20


def test_odd_settings_are_survived() -> None:
    for spread in (0, 1, 5000):
        for rate in (0.01, 10_000.0):
            for gateways in (1, 1000):
                plan = Plan("basic", rate=rate, burst=rate)
                w = World([entry(1)], plans=(plan,), gateway_count=gateways, gateway_index=gateways - 1)
                for life in (0, 3000):
                    w.ask(spread=spread, life=life)
                    w.pass_time(4000)
                assert not w.gateway.requests
    none = World(gateway_count=1000)
    none.give(backends())
    none.ask(spread=1, life=1000)
    none.pass_time(2000)
    assert not none.gateway.requests


def test_odd_events_are_survived() -> None:
    w = world()
    w.give(AttemptEnded("nobody", 0, 9, Outcome.OK, 1, True))
    w.give(ClientDisconnected("nobody"))
    w.give(TimerFired(TimerToken(TimerKind.REQUEST, "unwanted")))
    w.give(CounterResponse("nothing", Outcome.OK, 1))
    w.give(PeerMessage(1, b"\xff\x00"))
    w.give(ResponseStarted("nobody", 0, 1))
    send = one(w.ask("no such class", "no such plan"))
    w.give(ClientDisconnected(send.request_id))
    assert w.end(send, Outcome.TIMED_OUT) == []
    w.end(send, Outcome.TIMED_OUT)


def test_a_cold_backend_gets_little_until_it_is_warm() -> None:
    """Danger: a cold backend sent a warm one's load by every gateway falls over and stays down."""
    w = world(entry(1), entry(2), entry(3))
    warm_up(w, 400)
    w.give(backends(entry(9, started=w.now - 100), scope=UpdateKind.DELTA))
    early = [one(w.ask()) for _ in range(1)]
    w.end(early[0])
    mark = w.now
    warm_up(w, 50)
    counts = [a.backend_id for t, a in w.log if t >= mark and isinstance(a, StartAttempt)]
    assert counts.count(9) <= 0.25 * 0.5 * len(counts)
    w.pass_time(11_000)
    assert 9 in served_by(w, 40)


def test_the_plan_is_met_by_its_settings_not_its_name() -> None:
    renamed = Plan("zzz", BASIC.rate, BASIC.burst)
    a = World(plans=(BASIC,))
    b = World(plans=(renamed,))
    for _ in range(30):
        assert a.ask(plan="basic") == b.ask(plan="zzz")
        a.pass_time(100)
        b.pass_time(100)


@pytest.mark.parametrize("duplicate", [True, False])
def test_no_further_attempt_is_made_for_a_client_that_has_left(duplicate: bool) -> None:
    """Neither a second copy once the first attempt is out for long, nor the next one once that has failed."""
    w = world(entry(1), entry(2), entry(3), hedging_allowed=duplicate)
    stays, leaves = one(w.ask()), one(w.ask())
    w.give(ClientDisconnected(leaves.request_id))
    actions = w.pass_time(900)
    assert [send.request_id for send in sends(actions)] == [stays.request_id] * duplicate
    ends = w.end(stays, Outcome.FAILED) if not duplicate else []
    actions = [*ends, *w.end(leaves, Outcome.FAILED), *w.pass_time(3_000)]
    assert all(send.request_id == stays.request_id for send in sends(actions))
    assert duplicate or len(sends(ends)) == 1


def further_attempts(entries: list[Endpoint]) -> list[int]:
    """Where the second attempts go of requests whose first one may have run."""
    went = []
    for seed in range(40):
        w = World(entries, seed=seed, plans=(Plan("free"),))
        for number in range(5):
            for first in sends(w.ask(plan="free", customer=f"c{number}")):
                went += [
                    again.backend_id
                    for again in sends(w.end(first, Outcome.CONNECTION_RESET, finished=False))
                ]
            w.pass_time(100)
    return went


def test_what_may_have_run_goes_on_to_warm_backends_where_there_are_some() -> None:
    """Danger: where many fail, further attempts of all gateways come on top of a cold one's part."""
    cold = [entry(number, started=5_000) for number in range(10, 16)]  # half warm
    warm = [entry(1), entry(2)]
    assert set(further_attempts([*warm, *cold])) == {1, 2}
    assert further_attempts(cold), "and where there are none, to cold ones"
