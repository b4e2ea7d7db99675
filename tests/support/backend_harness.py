"""Connection pools to fake backends, and attempts that record their outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.backends.connection import BackendConnection
from gateway.network.backends.endpoint import REUSE_DELAY_MS
from gateway.network.backends.pool import BackendPool
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.events import EndpointState, Outcome
from tests.support.event_loop import wait_until
from tests.support.fake_services import FakeBackend, FakeServer, ScriptedReply, always
from tests.support.manual_server import ManualServer
from tests.support.replies import served_reply
from tests.support.request_commands import request_command
from tests.support.resp_peer import encode_command

VALUE_REPLY = served_reply(b"value")

POOL_SETTINGS: dict[str, Any] = {
    "connect_timeout_ms": 250,
    "keepalive_ms": 15_000,
    "drain_grace_ms": 1_000,
    "max_connections": 50,
    "max_buffered_bytes": 10_000_000,
}


@asynccontextmanager
async def open_pool(*servers: FakeServer, **settings: Any) -> AsyncIterator[BackendPool]:
    """Start the servers, and open a pool that lists them as ready backends with ids from 0.

    `settings` replace entries of `POOL_SETTINGS`.
    """
    loop = asyncio.get_running_loop()
    pool = BackendPool(loop, TimerQueue(loop), **{**POOL_SETTINGS, **settings})
    for number, server in enumerate(servers):
        await server.start()
        pool.update_endpoint(number, server.address, EndpointState.READY)
    try:
        yield pool
    finally:
        pool.close()
        for server in servers:
            await server.stop()


class ManualBackend(NamedTuple):
    """A backend whose connections the test handles itself, and the pool that lists it."""

    server: ManualServer
    pool: BackendPool


@asynccontextmanager
async def open_manual_backend() -> AsyncIterator[ManualBackend]:
    """Start a backend whose connections the test handles itself, and a pool that lists it as backend 0."""
    server = ManualServer()
    async with open_pool() as pool:
        pool.update_endpoint(0, server.address, EndpointState.READY)
        yield ManualBackend(server, pool)
    server.close()


def idle_connections(pool: BackendPool) -> list[BackendConnection]:
    """Return the pool's idle connections to all endpoints."""
    connections: list[BackendConnection] = []
    for endpoint in pool.endpoints.values():
        for connection in endpoint.idle_connections:
            assert isinstance(connection, BackendConnection)
            connections.append(connection)
    return connections


def only_idle_connection(pool: BackendPool) -> BackendConnection:
    """Return the idle connection of a pool; there must be exactly one."""
    (connection,) = idle_connections(pool)
    return connection


class IdleConnection(NamedTuple):
    """A backend, the pool that lists it, and the pool's only connection to it, which is idle."""

    backend: FakeBackend
    pool: BackendPool
    connection: BackendConnection


@asynccontextmanager
async def open_idle_connection() -> AsyncIterator[IdleConnection]:
    """Start a backend and a pool, and serve one request, which leaves its connection idle."""
    backend = FakeBackend()
    async with open_pool(backend) as pool:
        assert await RecordedAttempt(pool).outcome() is Outcome.OK
        yield IdleConnection(backend, pool, only_idle_connection(pool))


def stop_polling(connection: BackendConnection) -> None:
    """Stop reading from the connection, as if the event loop had not polled its socket yet."""
    connection.resources.loop.remove_reader(connection.fd)


async def wait_for_reuse_delay(pool: BackendPool) -> None:
    """Wait until the pool may reuse its idle connections."""
    idle = idle_connections(pool)
    await wait_until(lambda: all(now_ms() - connection.idle_since > REUSE_DELAY_MS for connection in idle))


class AttemptEnd(NamedTuple):
    """The outcome of an attempt, and the value of the reply, which is empty if there is none."""

    outcome: Outcome
    value: bytes


class RecordedAttempt:
    """An attempt that starts when it is created; `ends` records each reported end."""

    def __init__(
        self, pool: BackendPool, backend_id: int = 0, timeout_ms: float = 3000, body: bytes = b""
    ) -> None:
        self.ends: list[AttemptEnd] = []
        self.body = body
        self._ended = asyncio.Event()
        self.attempt = BackendAttempt(
            backend_id=backend_id,
            encode_request=self._encode_request,
            deadline=now_ms() + timeout_ms,
            on_end=self._on_end,
        )
        pool.start(self.attempt)

    @property
    def connection(self) -> BackendConnection:
        """The connection that the attempt uses."""
        connection = self.attempt.connection
        assert isinstance(connection, BackendConnection)
        return connection

    def _encode_request(self, timeout_ms: int) -> bytes:
        return encode_command(*request_command(remaining_ms=timeout_ms, body=self.body))

    def _on_end(self, _attempt: BackendAttempt, outcome: Outcome, value: bytes) -> None:
        self.ends.append(AttemptEnd(outcome, value))
        self._ended.set()

    async def result(self) -> AttemptEnd:
        """Wait until the attempt has ended and return its end; there must be exactly one."""
        await self._ended.wait()
        (end,) = self.ends
        return end

    async def outcome(self) -> Outcome:
        """Wait until the attempt has ended and return its outcome."""
        end = await self.result()
        return end.outcome


def backend_with_fixed_reply(reply: ScriptedReply) -> FakeBackend:
    """Return a backend that sends the same reply to every request."""
    return FakeBackend(always(reply))
