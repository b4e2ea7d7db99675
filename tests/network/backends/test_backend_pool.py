"""The pool of connections to backends, over loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from gateway.network.backends import pool as backend_pool
from gateway.network.backends.pool import BackendPool
from gateway.network.timers import now_ms
from gateway.policy.events import EndpointState, Outcome
from tests.support.backend_harness import (
    POOL_SETTINGS,
    VALUE_REPLY,
    RecordedAttempt,
    backend_with_fixed_reply,
    open_idle_connection,
    open_pool,
    stop_polling,
    wait_for_reuse_delay,
)
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeServer, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway

# ---- attempts that never ran ----


@runs_in_loop
async def test_attempt_that_cannot_connect_ends_as_connect_error() -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        backend.server.close()

        assert await RecordedAttempt(pool).result() == (Outcome.CONNECT_ERROR, b"")


class UnreachableSocket(socket.socket):
    """A socket whose connect the system rejects at once."""

    def connect_ex(self, _address: object) -> int:
        return errno.ENETUNREACH


def fail_to_open_socket(*_: object) -> socket.socket:
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


@pytest.mark.parametrize(
    ("open_socket", "reason"),
    [(UnreachableSocket, "Network is unreachable"), (fail_to_open_socket, "Too many open files")],
)
@runs_in_loop
async def test_connect_that_cannot_begin_is_logged_with_peer_and_reason(
    open_socket: Callable[..., socket.socket],
    reason: str,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        with monkeypatch.context() as patches:
            patches.setattr("gateway.network.backends.connecting.socket.socket", open_socket)
            attempt = RecordedAttempt(pool)
        pool.sweep()

        assert await attempt.result() == (Outcome.CONNECT_ERROR, b"")
        assert not pool.connections
        assert caplog.messages == [
            "connecting to backends failed 1 times, the attempts never ran: "
            f"127.0.0.1:{backend.port} {reason} (1)"
        ]


@runs_in_loop
async def test_attempt_at_an_unlisted_backend_ends_as_connect_error() -> None:
    async with open_pool(FakeBackend()) as pool:
        attempt = RecordedAttempt(pool, backend_id=9)

        assert await attempt.result() == (Outcome.CONNECT_ERROR, b"")


class NonReadingServer(FakeServer):
    """A server that reads nothing, and aborts each connection once `may_abort` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.may_abort = asyncio.Event()

    async def handle_connection(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.may_abort.wait()
        writer.transport.abort()


@runs_in_loop
async def test_break_before_the_last_byte_ends_as_connect_error() -> None:
    """The backend does not read, so the end of a large request stays in the gateway's process."""
    server = NonReadingServer()
    async with open_pool(server) as pool:
        attempt = RecordedAttempt(pool, body=b"x" * 32_000_000)
        writer = attempt.connection.writer
        await wait_until(lambda: server.accepted_count and writer.is_waiting_for_writable)

        server.may_abort.set()

        assert await attempt.outcome() is Outcome.CONNECT_ERROR


@runs_in_loop
async def test_timeout_while_connecting_ends_as_connect_error() -> None:
    async with open_pool(FakeBackend()) as pool:
        attempt = RecordedAttempt(pool)

        pool.abandon(attempt.attempt, Outcome.TIMED_OUT)

        assert await attempt.outcome() is Outcome.CONNECT_ERROR


@runs_in_loop
async def test_request_is_not_sent_after_a_drain_reported_while_connecting() -> None:
    """The end of the drain grace is checked before the first byte is written, not only at the start."""
    backend = FakeBackend()
    async with open_pool(backend, drain_grace_ms=0) as pool:
        attempt = RecordedAttempt(pool)  # its connection is being established

        pool.update_endpoint(0, backend.address, EndpointState.DRAINING)

        assert await attempt.outcome() is Outcome.CONNECT_ERROR
        assert await RecordedAttempt(pool).outcome() is Outcome.CONNECT_ERROR
        await wait_until(lambda: not backend.open_connections)
        assert not backend.received


@runs_in_loop
async def test_request_that_expired_while_connecting_is_not_sent() -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool, timeout_ms=0)

        assert await attempt.outcome() is Outcome.NOT_STARTED
        assert not backend.received


@runs_in_loop
async def test_retry_past_its_latest_start_once_connected_is_not_sent() -> None:
    """A backend that no longer remembers the first attempt would run the request a second time."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        # The connection is established in a later iteration of the event loop.
        attempt = RecordedAttempt(pool)

        attempt.attempt.start_before = now_ms()

        assert await attempt.outcome() is Outcome.CONNECT_ERROR
        assert not backend.received


# ---- sending, abandoning and retrying ----


@runs_in_loop
async def test_large_request_is_sent_completely() -> None:
    body = b"x" * 8_000_000
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool, body=body)

        assert await attempt.outcome() is Outcome.OK
        assert backend.received[0][4] == body


@runs_in_loop
async def test_connection_of_an_abandoned_attempt_is_closed_before_the_end_is_reported() -> None:
    """The next attempt of the request is sent at once, and two must never be in flight together."""
    backend = backend_with_fixed_reply(None)
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool)
        await wait_until(lambda: backend.received)
        connection = attempt.connection
        closed_at_end: list[bool] = []
        attempt.attempt.on_end = lambda *_: closed_at_end.append(connection.socket.fileno() == -1)

        pool.abandon(attempt.attempt, Outcome.CANCELLED)

        assert closed_at_end == [True]
        await wait_until(lambda: backend.closed_by_gateway_count)


@runs_in_loop
async def test_reset_attempt_is_retried_at_another_backend() -> None:
    is_first = True

    async def close_first(_command: list[bytes]) -> ScriptedReply:
        nonlocal is_first
        if is_first:
            is_first = False
            return b""
        return VALUE_REPLY

    async with running_gateway(GatewayHarness(FakeBackend(close_first), FakeBackend(close_first))) as harness:
        client = await harness.client()

        assert await harness.request(client) == b"value"
        assert sorted(len(backend.received) for backend in harness.backends) == [1, 1]


@runs_in_loop
async def test_request_with_side_effects_that_may_have_run_is_not_retried() -> None:
    async with running_gateway(
        GatewayHarness(backend_with_fixed_reply(b""), backend_with_fixed_reply(b""))
    ) as harness:
        client = await harness.client()

        reply = await harness.request(client, request_class=b"wipe", body=b"x")

        assert str(reply) == "ERR failed"
        assert sum(len(backend.received) for backend in harness.backends) == 1


# ---- idle connections ----


@runs_in_loop
async def test_most_recently_used_connection_is_reused_first() -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        await asyncio.gather(RecordedAttempt(pool).result(), RecordedAttempt(pool).result())
        assert backend.accepted_count == 2

        for _ in range(5):
            await wait_for_reuse_delay(pool)
            assert await RecordedAttempt(pool).outcome() is Outcome.OK

        assert backend.accepted_count == 2


@runs_in_loop
async def test_connection_that_the_backend_has_closed_is_not_written_to() -> None:
    """A request written before the gateway has read the close would end as a connection reset."""
    async with open_idle_connection() as (backend, pool, connection):
        stop_polling(connection)
        backend.close_connections()
        await wait_until(lambda: not connection.is_alive())

        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        assert backend.accepted_count == 2
        assert len(backend.received) == 2


@runs_in_loop
async def test_idle_connection_is_closed_before_the_backend_closes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backend_pool, "SWEEP_INTERVAL_MS", 5.0)
    async with open_idle_connection() as (backend, pool, connection):
        connection.idle_since -= pool.configured_max_idle_ms - 20

        await wait_until(lambda: backend.closed_by_gateway_count)
        assert not pool.connections
        assert pool.configured_max_idle_ms < POOL_SETTINGS["keepalive_ms"] * 0.8


# ---- bounds and the endpoint list ----


@runs_in_loop
async def test_connection_bound_closes_idle_connections_and_then_rejects() -> None:
    idle_backend = FakeBackend()
    unresponsive = backend_with_fixed_reply(None)
    async with open_pool(idle_backend, unresponsive, max_connections=1) as pool:
        assert await RecordedAttempt(pool).outcome() is Outcome.OK

        in_flight = RecordedAttempt(pool, backend_id=1)

        await wait_until(lambda: unresponsive.received)
        await wait_until(lambda: idle_backend.closed_by_gateway_count)
        assert await RecordedAttempt(pool).outcome() is Outcome.CONNECT_ERROR
        assert not in_flight.ends
        assert len(pool.connections) == 1


@runs_in_loop
async def test_attempts_are_sent_to_a_changed_address() -> None:
    old = FakeBackend()
    new = FakeBackend()
    async with open_pool(old) as pool:
        await new.start()
        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        await wait_for_reuse_delay(pool)

        pool.update_endpoint(0, new.address, EndpointState.READY)

        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        assert len(old.received) == 1
        assert len(new.received) == 1
        await wait_until(lambda: old.closed_by_gateway_count)
        await new.stop()


@asynccontextmanager
async def pool_with_long_list() -> AsyncIterator[BackendPool]:
    """Open a pool of 2,000 listed backends, with a connection to backend 7."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        for backend_id in range(2_000):
            pool.update_endpoint(backend_id, backend.address, EndpointState.READY)
        assert not pool.endpoints, "of a listed backend only the address is kept"
        assert await RecordedAttempt(pool, 7).outcome() is Outcome.OK
        yield pool


@runs_in_loop
async def test_backends_without_connections_have_no_endpoint() -> None:
    async with pool_with_long_list() as pool:
        assert set(pool.endpoints) == {7}

        pool.sweep()

        assert set(pool.endpoints) == {7}, "its connection may be reused"


@runs_in_loop
async def test_sweep_removes_an_endpoint_without_connections_but_not_its_address() -> None:
    async with pool_with_long_list() as pool:
        pool.endpoints[7].close_idle()

        pool.sweep()

        assert not pool.endpoints
        assert await RecordedAttempt(pool, 7).outcome() is Outcome.OK


@runs_in_loop
async def test_backend_omitted_from_a_complete_list_drains() -> None:
    async with pool_with_long_list() as pool:
        pool.replace_endpoints({backend_id: pool.addresses[backend_id] for backend_id in range(7)})

        assert await RecordedAttempt(pool, 9).outcome() is Outcome.CONNECT_ERROR
        assert not pool.endpoints[7].idle_connections
        assert pool.endpoints[7].is_draining, "it takes new work until the end of its grace only"
