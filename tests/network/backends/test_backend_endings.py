"""Ways in which a backend's connection ends, on real sockets, each while a request is on it."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from gateway.policy.events import EndpointState, Outcome
from tests.support.backend_harness import RecordedAttempt, open_pool, wait_for_reuse_delay
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend
from tests.support.manual_server import ManualServer, reset

VALUE_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


@pytest.mark.parametrize("received", [b"", VALUE_REPLY[:1], VALUE_REPLY[:14], VALUE_REPLY[:-1]])
def test_reset_amid_a_reply_may_have_run(received: bytes) -> None:
    async def scenario() -> None:
        server = ManualServer()
        async with open_pool() as backends:
            backends.update(0, server.address, EndpointState.READY)
            attempt = RecordedAttempt(backends)
            connection = await server.accept_after(1)
            connection.sendall(received)
            await wait_until(lambda: backends.resources.buffered_bytes == len(received))

            connection.shutdown(socket.SHUT_RDWR)
            reset(connection)

            assert await attempt.result() == (Outcome.CONNECTION_RESET, b"")
            assert not backends.connections
            assert backends.resources.buffered_bytes == 0
        server.close()

    run_in_loop(scenario)


def test_close_that_crosses_a_send_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The backend's close is on its way as the request is written: nobody here can know yet."""
    monkeypatch.setattr(
        "gateway.network.backends.connection.BackendConnection.is_alive", lambda _connection: True
    )

    async def scenario() -> None:
        server = ManualServer()
        async with open_pool() as backends:
            backends.update(0, server.address, EndpointState.READY)
            first = RecordedAttempt(backends)
            connection = await server.accept_after(1)
            connection.sendall(VALUE_REPLY)
            assert (await first.result())[0] is Outcome.OK
            await wait_for_reuse_delay(backends)

            connection.shutdown(socket.SHUT_RDWR)
            second = RecordedAttempt(backends)  # in the same turn of the loop

            assert (await second.result())[0] is Outcome.CONNECTION_RESET
            assert not backends.connections
        server.close()

    run_in_loop(scenario)


def test_reply_and_timeout_in_one_moment_give_one_outcome() -> None:
    """The reply is with the kernel, unread, as the attempt is abandoned."""

    async def scenario() -> None:
        server = ManualServer()
        async with open_pool() as backends:
            backends.update(0, server.address, EndpointState.READY)
            first = RecordedAttempt(backends)
            connection = await server.accept_after(1)

            connection.sendall(VALUE_REPLY)
            backends.abandon(first.attempt, Outcome.TIMED_OUT)
            backends.abandon(first.attempt, Outcome.CANCELLED)

            assert first.endings == [(Outcome.TIMED_OUT, b"")]
            assert not backends.connections
            second = RecordedAttempt(backends)  # on a connection of its own: the old reply is not its
            connection = await server.accept_after(1)
            connection.sendall(VALUE_REPLY.replace(b"value", b"other"))
            assert await second.result() == (Outcome.OK, b"other")
            assert len(first.endings) == 1
        server.close()

    run_in_loop(scenario)


def test_connection_established_while_the_process_stalled_is_used() -> None:
    """Its time-out and its establishment are found together; the loop looks at its timers first."""

    async def scenario() -> None:
        backend = FakeBackend()
        loop = asyncio.get_running_loop()
        async with open_pool(backend, connect_timeout_ms=1) as backends:
            attempts: list[RecordedAttempt] = []
            near, far = socket.socketpair()

            def start_and_stall() -> None:
                loop.remove_reader(near)
                attempts.append(RecordedAttempt(backends))
                time.sleep(0.02)  # the kernel connects meanwhile

            loop.add_reader(near, start_and_stall)
            far.send(b"go")
            await wait_until(lambda: attempts)

            assert await attempts[0].result() == (Outcome.OK, b"value")
            near.close()
            far.close()

    run_in_loop(scenario)
