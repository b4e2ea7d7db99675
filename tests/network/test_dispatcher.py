"""The dispatcher between a scripted policy and the sockets' parts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from gateway.network.address import Address
from gateway.network.backends.pool import BackendPool
from gateway.network.clients.connection import ClientConnection
from gateway.network.clients.listener import ClientLimits, ClientListener
from gateway.network.clients.pending_reply import PendingReply
from gateway.network.clients.request_parser import RequestParser
from gateway.network.dispatcher import BUSY_REPLY, FAILED_REPLY, ID_IN_USE_REPLY, Dispatcher
from gateway.network.timers import TimerQueue
from gateway.policy.actions import IncrementCounter, Reject, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    EndpointState,
    Outcome,
    RequestArrived,
    TimerFired,
)
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.policy_settings import BONUS, IDEMPOTENT, settings
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL
from tests.support.stub_policy import StubPolicy

BACKEND = 7


class Scene:
    """A dispatcher with one client connection, whose far end is `client`."""

    def __init__(self, max_open_requests: int = 10) -> None:
        loop = asyncio.get_running_loop()
        timers = TimerQueue(loop)
        self.backends = BackendPool(
            loop,
            timers,
            connect_timeout_ms=250,
            keepalive_ms=15_000,
            drain_grace_ms=1_000,
            max_connections=10,
            max_buffered_bytes=1_000_000,
        )
        self.dispatcher = Dispatcher(
            settings(max_attempts=2, request_classes=(IDEMPOTENT,)),
            seed=1,
            timers=timers,
            backends=self.backends,
            counter=None,
            max_open_requests=max_open_requests,
        )
        self.policy = StubPolicy()
        self.dispatcher.policy = self.policy  # type: ignore[assignment]
        self.parser = RequestParser(self.dispatcher.settings)
        listener = ClientListener(
            loop, timers, handler=self.dispatcher, parser=self.parser, limits=ClientLimits(10, 1_000_000)
        )
        accepted, self.client = socket.socketpair()
        accepted.setblocking(False)
        self.connection = ClientConnection(listener, accepted)

    def request(self, id: bytes = b"r1", remaining_ms: int = 3000) -> PendingReply:
        pending_reply = PendingReply(self.connection)
        pending_reply.open_request(id.decode())
        self.connection.replies.add(pending_reply)
        args = list(request_command(id, plan=BONUS.name.encode(), remaining_ms=remaining_ms))
        self.dispatcher.on_request(self.parser.parse(args), pending_reply)
        return pending_reply

    def ended_attempts(self) -> list[AttemptEnded]:
        return [event for event in self.policy.events if isinstance(event, AttemptEnded)]


@contextlib.asynccontextmanager
async def silent_backend(scene: Scene) -> AsyncIterator[list[asyncio.StreamWriter]]:
    """A listed backend that accepts connections and says nothing; yields its ends of them."""
    writers: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(lambda _, writer: writers.append(writer), LOCAL, 0)
    port = server.sockets[0].getsockname()[1]
    scene.backends.update(BACKEND, Address(LOCAL, port), EndpointState.READY)
    yield writers
    server.close()


def test_request_fails_if_the_policy_raises(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = Scene()

        scene.policy.actions_by_event[RequestArrived] = ValueError("what")
        assert scene.request().reply == FAILED_REPLY

        scene.policy.actions_by_event[RequestArrived] = [Reject("r2", 30.5)]
        assert scene.request(b"r2").reply == b"-BUSY 31\r\n"

    run_in_loop(scenario)
    assert "RequestArrived could not be handled" in caplog.text


def test_request_that_the_policy_forgets_fails_at_its_deadline() -> None:
    """A fault at a timer or a counter's response would leave its client without a reply."""

    async def scenario() -> None:
        scene = Scene()
        pending_reply = scene.request(remaining_ms=20)
        assert pending_reply.reply is None

        await wait_until(lambda: pending_reply.is_completed)

        assert pending_reply.reply == FAILED_REPLY
        assert not scene.dispatcher.open_requests
        assert scene.policy.events_of(ClientDisconnected) == [ClientDisconnected("r1")]

    run_in_loop(scenario)


def test_attempts_are_limited_and_ignored_after_the_reply() -> None:
    async def scenario() -> None:
        scene = Scene()
        start = StartAttempt("r1", BACKEND)
        scene.policy.actions_by_event[RequestArrived] = [start, start, start, Reject("r1"), start]

        scene.request()

        endings = [
            (event.attempt_number, event.outcome, event.request_finished) for event in scene.ended_attempts()
        ]
        assert endings == [
            (0, Outcome.CONNECT_ERROR, False),  # a backend that was never listed
            (1, Outcome.CONNECT_ERROR, False),
            (2, Outcome.NOT_STARTED, False),
            (0, Outcome.NOT_STARTED, True),
        ]

    run_in_loop(scenario)


def test_attempt_not_started_for_a_disconnected_client_ends_by_its_own_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """By another one's the policy would hold it to be in flight for ever."""
    monkeypatch.setattr("gateway.network.clients.connection.DISCONNECT_CHECK_INTERVAL_MS", 0.0)

    async def scenario() -> None:
        scene = Scene()
        scene.policy.actions_by_event[RequestArrived] = [StartAttempt("r1", BACKEND)]
        scene.request()
        scene.policy.actions_by_event[RequestArrived] = []
        scene.request(b"r2")
        scene.policy.actions_by_event[TimerFired] = [StartAttempt("r2", BACKEND), StartAttempt("r1", BACKEND)]

        scene.client.close()
        scene.dispatcher.deliver(TimerFired(TimerToken(TimerKind.REQUEST, "t")))

        endings = [
            (event.request_id, event.attempt_number, event.request_finished)
            for event in scene.ended_attempts()
        ]
        assert endings == [("r1", 0, False), ("r2", 0, True), ("r1", 1, True)]
        assert len(scene.policy.events_of(ClientDisconnected)) == 2
        assert not scene.dispatcher.open_requests
        assert not scene.dispatcher.disconnected_requests

    run_in_loop(scenario)


def test_attempt_timeout_leaves_the_request_open() -> None:
    async def scenario() -> None:
        scene = Scene()
        async with silent_backend(scene):
            scene.policy.actions_by_event[RequestArrived] = [StartAttempt("r1", BACKEND, timeout_ms=20.0)]
            scene.policy.actions_by_event[AttemptEnded] = [Reject("r1")]

            pending_reply = scene.request()
            await wait_until(lambda: pending_reply.is_completed)

            (ended,) = scene.ended_attempts()
            assert ended.outcome is Outcome.TIMED_OUT
            assert not ended.request_finished
            assert ended.latency_ms >= 20
            assert pending_reply.reply == BUSY_REPLY

    run_in_loop(scenario)


def test_id_is_in_use_while_an_attempt_of_it_is_in_flight() -> None:
    """The policy need not cancel an attempt when its request has ended; both are known by the id."""

    async def scenario() -> None:
        scene = Scene()
        async with silent_backend(scene) as writers:
            scene.policy.actions_by_event[RequestArrived] = [StartAttempt("r1", BACKEND), Reject("r1")]
            assert scene.request().reply == BUSY_REPLY
            await wait_until(lambda: writers)
            assert scene.request().reply == ID_IN_USE_REPLY

            writers[0].close()
            await wait_until(lambda: scene.policy.events_of(AttemptEnded))

            assert not scene.dispatcher.attempts
            assert scene.request().reply == BUSY_REPLY
            assert len(scene.policy.events_of(RequestArrived)) == 2

    run_in_loop(scenario)


def test_request_beyond_the_limit_of_open_requests_is_rejected() -> None:
    async def scenario() -> None:
        scene = Scene(max_open_requests=1)

        assert scene.request().reply is None
        assert scene.request(b"r2").reply == BUSY_REPLY

        assert len(scene.policy.events) == 1

    run_in_loop(scenario)


@pytest.mark.parametrize(
    ("reply", "on_the_wire"),
    [
        (FAILED_REPLY, b"-ERR failed\r\n"),
        (BUSY_REPLY, b"-BUSY\r\n"),
        (ID_IN_USE_REPLY, b"-ERR id in use\r\n"),
    ],
)
def test_replies_stay_as_the_protocol_words_them(reply: bytes, on_the_wire: bytes) -> None:
    assert reply == on_the_wire


def test_counter_calls_fail_as_never_made_without_a_counter() -> None:
    async def scenario() -> None:
        scene = Scene()
        scene.policy.actions_by_event[RequestArrived] = [IncrementCounter("n", 1.0, 100.0)]

        scene.request()

        assert scene.policy.events_of(CounterResponse) == [CounterResponse("n", Outcome.CONNECT_ERROR, 0.0)]

    run_in_loop(scenario)
