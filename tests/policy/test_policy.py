"""What the whole policy does with any events and settings."""

from __future__ import annotations

from gateway.policy.actions import Fail
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Outcome,
    PeerMessage,
    ResponseStarted,
    TimerFired,
)
from gateway.policy.settings import Plan
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.policy_harness import (
    World,
    backends,
    entry,
    only_attempt_in,
    world,
)


def test_every_pending_request_is_finished_before_its_deadline() -> None:
    w = world()
    send = only_attempt_in(w.ask("wipe", life=3000))
    w.pass_time(2960)
    ends = [(t, a) for t, a in w.log if isinstance(a, Fail) and a.request_id == send.request_id]
    assert len(ends) == 1
    assert ends[0][0] <= 13_000
    assert w.end(send, Outcome.TIMED_OUT) == []


def test_extreme_settings_are_survived() -> None:
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


def test_events_of_unknown_requests_and_calls_are_survived() -> None:
    w = world()
    w.give(AttemptEnded("nobody", 0, 9, Outcome.OK, 1, True))
    w.give(ClientDisconnected("nobody"))
    w.give(TimerFired(TimerToken(TimerKind.REQUEST, "unwanted")))
    w.give(CounterResponse("nothing", Outcome.OK, 1))
    w.give(PeerMessage(1, b"\xff\x00"))
    w.give(ResponseStarted("nobody", 0, 1))
    send = only_attempt_in(w.ask("no such class", "no such plan"))
    w.give(ClientDisconnected(send.request_id))
    assert w.end(send, Outcome.TIMED_OUT) == []
    w.end(send, Outcome.TIMED_OUT)
