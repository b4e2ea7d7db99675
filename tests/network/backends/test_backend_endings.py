"""Connections to backends that end while a request is on them, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from gateway.network.backends.connection import BackendConnection
from gateway.policy.events import Outcome
from tests.support.backend_harness import (
    VALUE_REPLY,
    RecordedAttempt,
    open_manual_backend,
    open_pool,
    wait_for_reuse_delay,
)
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import FakeBackend
from tests.support.manual_server import reset
from tests.support.replies import served_reply


@pytest.mark.parametrize("received", [b"", VALUE_REPLY[:1], VALUE_REPLY[:14], VALUE_REPLY[:-1]])
@runs_in_loop
async def test_attempt_reset_before_its_reply_is_complete_may_have_run(received: bytes) -> None:
    async with open_manual_backend() as (server, pool):
        memory = pool.resources.reply_memory
        attempt = RecordedAttempt(pool)
        connection = await server.accept_and_receive(1)
        connection.sendall(received)
        await wait_until(lambda: memory.reserved_bytes == len(received))

        connection.shutdown(socket.SHUT_RDWR)
        reset(connection)

        assert await attempt.result() == (Outcome.CONNECTION_RESET, b"")
        assert not pool.connections
        assert memory.reserved_bytes == 0


@runs_in_loop
async def test_attempt_sent_while_the_backend_closes_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The request is written while the backend's close is in transit, which the gateway cannot detect."""
    monkeypatch.setattr(BackendConnection, "is_alive", lambda _connection: True)
    async with open_manual_backend() as (server, pool):
        first = RecordedAttempt(pool)
        connection = await server.accept_and_receive(1)
        connection.sendall(VALUE_REPLY)
        assert await first.outcome() is Outcome.OK
        await wait_for_reuse_delay(pool)

        connection.shutdown(socket.SHUT_RDWR)
        second = RecordedAttempt(pool)  # in the same iteration of the event loop

        assert await second.outcome() is Outcome.CONNECTION_RESET
        assert not pool.connections


@runs_in_loop
async def test_reply_and_timeout_at_the_same_time_give_one_outcome() -> None:
    """The attempt is abandoned when the kernel has received its reply, but the gateway has not read it."""
    async with open_manual_backend() as (server, pool):
        first = RecordedAttempt(pool)
        connection = await server.accept_and_receive(1)

        connection.sendall(VALUE_REPLY)
        pool.abandon(first.attempt, Outcome.TIMED_OUT)
        pool.abandon(first.attempt, Outcome.CANCELLED)

        assert first.ends == [(Outcome.TIMED_OUT, b"")]
        assert not pool.connections
        second = RecordedAttempt(pool)  # on a new connection, without the first attempt's reply
        connection = await server.accept_and_receive(1)
        connection.sendall(served_reply(b"other"))
        assert await second.result() == (Outcome.OK, b"other")
        assert len(first.ends) == 1


@runs_in_loop
async def test_connection_established_while_the_process_stalled_is_used() -> None:
    """The event loop finds the connect timeout and the connection in one iteration, and runs timers first."""
    loop = asyncio.get_running_loop()
    async with open_pool(FakeBackend(), connect_timeout_ms=1) as pool:
        attempts: list[RecordedAttempt] = []
        near, far = socket.socketpair()

        def start_and_stall() -> None:
            loop.remove_reader(near)
            attempts.append(RecordedAttempt(pool))
            time.sleep(0.02)  # the kernel establishes the connection meanwhile

        loop.add_reader(near, start_and_stall)
        far.send(b"go")
        await wait_until(lambda: attempts)

        assert await attempts[0].result() == (Outcome.OK, b"value")
        near.close()
        far.close()
