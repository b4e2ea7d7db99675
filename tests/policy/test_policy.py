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
from tests.support.endpoints import create_endpoint, snapshot
from tests.support.policy_harness import PolicyHarness, only_attempt_in


def test_every_pending_request_is_finished_before_its_deadline() -> None:
    w = PolicyHarness.without_quotas()
    send = only_attempt_in(w.request("wipe", remaining_ms=3000))
    w.pass_time(2960)
    ends = [(t, a) for t, a in w.log if isinstance(a, Fail) and a.request_id == send.request_id]
    assert len(ends) == 1
    assert ends[0][0] <= 13_000
    assert w.end_attempt(send, Outcome.TIMED_OUT) == []


def test_extreme_settings_are_survived() -> None:
    for spread in (0, 1, 5000):
        for rate in (0.01, 10_000.0):
            for gateways in (1, 1000):
                plan = Plan("basic", rate=rate, burst=rate)
                w = PolicyHarness(
                    [create_endpoint(1)], plans=(plan,), gateway_count=gateways, gateway_index=gateways - 1
                )
                for life in (0, 3000):
                    w.request(gateway_set_size=spread, remaining_ms=life)
                    w.pass_time(4000)
                assert not w.policy.requests
    none = PolicyHarness(gateway_count=1000)
    none.deliver(snapshot())
    none.request(gateway_set_size=1, remaining_ms=1000)
    none.pass_time(2000)
    assert not none.policy.requests


def test_events_of_unknown_requests_and_calls_are_survived() -> None:
    w = PolicyHarness.without_quotas()
    w.deliver(AttemptEnded("nobody", 0, 9, Outcome.OK, 1, True))
    w.deliver(ClientDisconnected("nobody"))
    w.deliver(TimerFired(TimerToken(TimerKind.REQUEST, "unwanted")))
    w.deliver(CounterResponse("nothing", Outcome.OK, 1))
    w.deliver(PeerMessage(1, b"\xff\x00"))
    w.deliver(ResponseStarted("nobody", 0, 1))
    send = only_attempt_in(w.request("no such class", "no such plan"))
    w.deliver(ClientDisconnected(send.request_id))
    assert w.end_attempt(send, Outcome.TIMED_OUT) == []
    w.end_attempt(send, Outcome.TIMED_OUT)
