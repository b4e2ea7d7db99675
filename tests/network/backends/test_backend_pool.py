"""Attempts on the pool's connections, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gateway.network.backends import pool as backend_pool
from gateway.network.backends.connection import BackendConnection
from gateway.network.backends.pool import BackendPool
from gateway.network.timers import now_ms
from gateway.policy.events import EndpointState, Outcome
from tests.support.backend_harness import (
    POOL_SETTINGS,
    VALUE_REPLY,
    RecordedAttempt,
    open_pool,
    scripted,
    wait_for_reuse_delay,
)
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeServer, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway

# ---- what never ran ----


@runs_in_loop
async def test_refused_connection_ends_as_connect_error() -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        backend.server.close()

        assert await RecordedAttempt(pool).result() == (Outcome.CONNECT_ERROR, b"")


@runs_in_loop
async def test_attempt_at_an_unlisted_backend_ends_as_connect_error() -> None:
    async with open_pool(FakeBackend()) as pool:
        attempt = RecordedAttempt(pool, backend_id=9)

        assert await attempt.result() == (Outcome.CONNECT_ERROR, b"")


class DeafServer(FakeServer):
    """Reads nothing until it is told to abort the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.may_abort = asyncio.Event()

    async def handle_connection(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.may_abort.wait()
        writer.transport.abort()


@runs_in_loop
async def test_break_before_the_last_byte_ends_as_connect_error() -> None:
    """Nobody reads, so the tail of a large request stays in the process until the connection breaks."""
    server = DeafServer()
    async with open_pool(server) as pool:
        attempt = RecordedAttempt(pool, body=b"x" * 32_000_000)
        connection = attempt.attempt.connection
        assert isinstance(connection, BackendConnection)
        await wait_until(lambda: server.accepted and connection.is_waiting_to_write)

        server.may_abort.set()

        assert await attempt.outcome() is Outcome.CONNECT_ERROR


@runs_in_loop
async def test_timeout_before_the_connection_is_up_ends_as_connect_error() -> None:
    async with open_pool(FakeBackend()) as pool:
        attempt = RecordedAttempt(pool)

        pool.abandon(attempt.attempt, Outcome.TIMED_OUT)

        assert await attempt.outcome() is Outcome.CONNECT_ERROR


@runs_in_loop
async def test_drain_reported_while_connecting_keeps_the_request_back() -> None:
    """The end of the grace holds at the first byte written, not when the attempt was started."""
    backend = FakeBackend()
    async with open_pool(backend, drain_grace_ms=0) as pool:
        attempt = RecordedAttempt(pool)  # the connection is not up yet

        pool.update(0, backend.address, EndpointState.DRAINING)

        assert await attempt.outcome() is Outcome.CONNECT_ERROR
        assert await RecordedAttempt(pool).outcome() is Outcome.CONNECT_ERROR
        await wait_until(lambda: not backend.open)
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
    """Later than the backends remember the first attempt, it would run a second time."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool)  # the connection is not up before the next turn of the loop

        attempt.attempt.start_before = now_ms()

        assert await attempt.outcome() is Outcome.CONNECT_ERROR
        assert not backend.received


# ---- sending, abandoning, retrying ----


@runs_in_loop
async def test_large_request_is_sent_whole() -> None:
    body = b"x" * 8_000_000
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool, body=body)

        assert await attempt.outcome() is Outcome.OK
        assert backend.received[0][4] == body


@runs_in_loop
async def test_abandoned_attempt_is_closed_before_its_end_is_reported() -> None:
    """What follows an abandoned attempt is sent at once, and two must never be under way together."""
    backend = scripted(None)
    async with open_pool(backend) as pool:
        attempt = RecordedAttempt(pool)
        await wait_until(lambda: backend.received)
        connection = attempt.attempt.connection
        assert isinstance(connection, BackendConnection)
        closed_at_end: list[bool] = []
        attempt.attempt.on_end = lambda *_: closed_at_end.append(connection.socket.fileno() == -1)

        pool.abandon(attempt.attempt, Outcome.CANCELLED)

        assert closed_at_end == [True]
        await wait_until(lambda: backend.ended)


@runs_in_loop
async def test_reset_attempt_is_retried_at_another_backend() -> None:
    reset: list[bytes] = []

    async def reset_first(command: list[bytes]) -> ScriptedReply:
        if not reset:
            reset.append(command[2])
            return b""
        return VALUE_REPLY

    async with running_gateway(GatewayHarness(FakeBackend(reset_first), FakeBackend(reset_first))) as harness:
        client = await harness.client()

        assert await harness.request(client) == b"value"
        assert sorted(len(backend.received) for backend in harness.backends) == [1, 1]


@runs_in_loop
async def test_request_with_side_effects_that_may_have_run_is_not_retried() -> None:
    async with running_gateway(GatewayHarness(scripted(b""), scripted(b""))) as harness:
        client = await harness.client()

        reply = await harness.request(client, request_class=b"wipe", body=b"x")

        assert str(reply) == "ERR failed"
        assert sum(len(backend.received) for backend in harness.backends) == 1


# ---- idle connections ----


@runs_in_loop
async def test_connection_used_last_is_reused_first() -> None:
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        await asyncio.gather(RecordedAttempt(pool).result(), RecordedAttempt(pool).result())
        assert backend.accepted == 2

        for _ in range(5):
            await wait_for_reuse_delay(pool)
            assert await RecordedAttempt(pool).outcome() is Outcome.OK

        assert backend.accepted == 2


@runs_in_loop
async def test_connection_that_the_backend_has_closed_is_not_written_to() -> None:
    """The end of a pooled connection may lie unread; a request written to it would end as a reset."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        (connection,) = pool.endpoints[0].idle_connections
        pool.resources.loop.remove_reader(connection.fd)  # as if the event loop had not yet come to it
        backend.close_connections()
        await wait_until(lambda: not connection.is_alive())

        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        assert backend.accepted == 2
        assert len(backend.received) == 2


@runs_in_loop
async def test_idle_connection_is_closed_before_the_backend_closes_it() -> None:
    backend = FakeBackend()
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(backend_pool, "SWEEP_INTERVAL_MS", 5.0)
        async with open_pool(backend) as pool:
            assert await RecordedAttempt(pool).outcome() is Outcome.OK
            (connection,) = pool.endpoints[0].idle_connections

            connection.idle_since -= pool.max_idle_ms - 20

            await wait_until(lambda: backend.ended)
            assert not pool.connections
            assert pool.max_idle_ms < POOL_SETTINGS["keepalive_ms"] * 0.8


# ---- bounds and the endpoint list ----


@runs_in_loop
async def test_connection_bound_closes_idle_connections_and_then_rejects() -> None:
    idle, silent = FakeBackend(), scripted(None)
    async with open_pool(idle, silent, max_connections=1) as pool:
        assert await RecordedAttempt(pool).outcome() is Outcome.OK

        in_flight = RecordedAttempt(pool, backend_id=1)

        await wait_until(lambda: silent.received)
        await wait_until(lambda: idle.ended)
        assert await RecordedAttempt(pool).outcome() is Outcome.CONNECT_ERROR
        assert not in_flight.endings
        assert len(pool.connections) == 1


@runs_in_loop
async def test_connections_follow_a_changed_address() -> None:
    old, new = FakeBackend(), FakeBackend()
    async with open_pool(old) as pool:
        await new.start()
        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        await wait_for_reuse_delay(pool)

        pool.update(0, new.address, EndpointState.READY)

        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        assert len(old.received) == 1
        assert len(new.received) == 1
        await wait_until(lambda: old.ended)
        await new.stop()


@asynccontextmanager
async def pool_with_long_list() -> AsyncIterator[BackendPool]:
    """A pool of 2,000 listed backends, with a connection to backend 7."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        for backend_id in range(2_000):
            pool.update(backend_id, backend.address, EndpointState.READY)
        assert not pool.endpoints, "a listed backend costs no more than an address"
        assert await RecordedAttempt(pool, 7).outcome() is Outcome.OK
        yield pool


@runs_in_loop
async def test_only_backends_with_connections_have_an_endpoint() -> None:
    async with pool_with_long_list() as pool:
        assert set(pool.endpoints) == {7}

        pool.sweep()

        assert set(pool.endpoints) == {7}, "its connection may be used again"


@runs_in_loop
async def test_endpoint_without_connections_is_forgotten_and_its_address_kept() -> None:
    async with pool_with_long_list() as pool:
        pool.endpoints[7].close_idle()

        pool.sweep()

        assert not pool.endpoints
        assert await RecordedAttempt(pool, 7).outcome() is Outcome.OK


@runs_in_loop
async def test_backend_left_out_of_a_whole_list_drains() -> None:
    async with pool_with_long_list() as pool:
        pool.replace_endpoints({backend_id: pool.addresses[backend_id] for backend_id in range(7)})

        assert await RecordedAttempt(pool, 9).outcome() is Outcome.CONNECT_ERROR
        assert not pool.endpoints[7].idle_connections
        assert pool.endpoints[7].is_draining, "it takes new work no longer than its grace"
