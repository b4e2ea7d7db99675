"""The driver between a scripted module and the sockets' parts, without any socket."""

from __future__ import annotations

import asyncio
import socket

import pytest

from gateway.network.backend_pool import BackendPool
from gateway.network.client_listener import ClientConnection, ClientListener, PendingReply, RequestParser
from gateway.network.dispatcher import FAILED, Dispatcher
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
from tests.support.loopback import LOCAL, in_loop, request, until
from tests.support.policy_harness import BONUS, SAFE, Module, settings


class Scene:
    def __init__(self, max_open: int = 10) -> None:
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
        terms = settings(max_attempts=2, request_classes=(SAFE,))
        self.driver = Dispatcher(terms, 1, timers, self.backends, None, max_open)
        self.module = Module()
        self.driver.policy = self.module  # type: ignore[assignment]
        self.terms = RequestParser(self.driver.settings)
        server = ClientListener(loop, timers, self.driver, self.terms, 10, 1_000_000)
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        self.connection = ClientConnection(server, self.near)

    def ask(self, id: bytes = b"r1", wait: int = 3000) -> PendingReply:
        slot = PendingReply(self.connection)
        slot.request = id.decode()
        self.connection.slots.append(slot)
        args = list(request(id, plan=BONUS.name.encode(), wait=wait))
        self.driver.on_request(self.terms.parse(args), slot)
        return slot


def test_a_fault_in_the_module_ends_its_request_with_a_failure(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = Scene()
        scene.module.answers[RequestArrived] = ValueError("what")
        assert scene.ask().reply == FAILED
        scene.module.answers[RequestArrived] = [Reject("r2", 30.5)]
        assert scene.ask(b"r2").reply == b"-BUSY 31\r\n"

    in_loop(scenario)
    assert "RequestArrived could not be handled" in caplog.text


def test_a_request_that_the_module_forgets_is_failed_at_its_end() -> None:
    """A fault at a timer or a counter's reply would leave its client without an answer."""

    async def scenario() -> None:
        scene = Scene()
        slot = scene.ask(wait=20)
        assert slot.reply is None
        await until(lambda: slot.answered)
        assert slot.reply == FAILED and not scene.driver.requests
        assert scene.module.of(ClientDisconnected) == [ClientDisconnected("r1")]

    in_loop(scenario)


def test_attempts_are_limited_and_ignored_after_the_answer() -> None:
    async def scenario() -> None:
        scene = Scene()
        send = StartAttempt("r1", 7)
        scene.module.answers[RequestArrived] = [send, send, send, Reject("r1"), send]
        scene.ask()
        ended = scene.module.of(AttemptEnded)
        outcomes = [
            (e.attempt_number, e.outcome, e.request_finished) for e in ended if isinstance(e, AttemptEnded)
        ]
        assert outcomes == [
            (0, Outcome.CONNECT_ERROR, False),  # a backend that was never listed
            (1, Outcome.CONNECT_ERROR, False),
            (2, Outcome.NOT_STARTED, False),
            (0, Outcome.NOT_STARTED, True),
        ]

    in_loop(scenario)


def test_an_attempt_not_made_for_a_client_that_has_left_is_told_by_its_own_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """By another one's the module would hold it to be out for ever."""
    monkeypatch.setattr("gateway.network.client_listener.LOOK_MS", 0.0)

    async def scenario() -> None:
        scene = Scene()
        scene.module.answers[RequestArrived] = [StartAttempt("r1", 7)]
        scene.ask()
        scene.module.answers[RequestArrived] = []
        scene.ask(b"r2")
        scene.module.answers[TimerFired] = [StartAttempt("r2", 7), StartAttempt("r1", 7)]
        scene.far.close()
        scene.driver.deliver(TimerFired(TimerToken(TimerKind.REQUEST, "t")))
        ended = scene.module.of(AttemptEnded)
        assert [
            (e.request_id, e.attempt_number, e.request_finished) for e in ended if isinstance(e, AttemptEnded)
        ] == [
            ("r1", 0, False),
            ("r2", 0, True),
            ("r1", 1, True),
        ]
        assert len(scene.module.of(ClientDisconnected)) == 2
        assert not scene.driver.requests and not scene.driver.left

    in_loop(scenario)


def test_an_attempt_s_own_time_out_leaves_the_request_open() -> None:
    async def scenario() -> None:
        scene = Scene()
        server = await asyncio.start_server(lambda *_: None, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        scene.backends.update(7, (LOCAL, port), EndpointState.READY)
        scene.module.answers[RequestArrived] = [StartAttempt("r1", 7, timeout_ms=20.0)]
        scene.module.answers[AttemptEnded] = [Reject("r1")]
        slot = scene.ask()
        await until(lambda: slot.answered)
        (ended,) = scene.module.of(AttemptEnded)
        assert isinstance(ended, AttemptEnded)
        assert (ended.outcome, ended.request_finished) == (
            Outcome.TIMED_OUT,
            False,
        ) and ended.latency_ms >= 20
        assert slot.reply == b"-BUSY\r\n"
        server.close()

    in_loop(scenario)


def test_an_id_is_in_use_as_long_as_an_attempt_of_it_is_out() -> None:
    """The module need not call an attempt off when its request has ended; both are known by the id."""

    async def scenario() -> None:
        scene = Scene()
        talks: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(lambda _, writer: talks.append(writer), LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        scene.backends.update(7, (LOCAL, port), EndpointState.READY)
        scene.module.answers[RequestArrived] = [StartAttempt("r1", 7), Reject("r1")]
        assert scene.ask().reply == b"-BUSY\r\n"
        await until(lambda: talks)
        assert scene.ask().reply == b"-ERR id in use\r\n"
        talks[0].close()
        await until(lambda: scene.module.of(AttemptEnded))
        assert not scene.driver.attempts
        assert scene.ask().reply == b"-BUSY\r\n"
        assert len(scene.module.of(RequestArrived)) == 2
        server.close()

    in_loop(scenario)


def test_more_open_requests_than_allowed_are_turned_away() -> None:
    async def scenario() -> None:
        scene = Scene(max_open=1)
        assert scene.ask().reply is None
        assert scene.ask(b"r2").reply == b"-BUSY\r\n"
        assert len(scene.module.events) == 1

    in_loop(scenario)


def test_without_a_counter_calls_end_as_never_made() -> None:
    async def scenario() -> None:
        scene = Scene()
        scene.module.answers[RequestArrived] = [IncrementCounter("n", 1.0, 100.0)]
        scene.ask()
        assert scene.module.of(CounterResponse) == [CounterResponse("n", Outcome.CONNECT_ERROR, 0.0)]

    in_loop(scenario)
