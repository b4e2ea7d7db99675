"""Pools of backend connections for tests, and attempts that record how they ended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.backends.pool import REUSE_DELAY_MS, BackendPool
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.events import EndpointState, Outcome
from tests.support.event_loop import wait_until
from tests.support.fake_services import FakeBackend, FakeServer, ScriptedReply, always
from tests.support.request_commands import request_command
from tests.support.resp_peer import encode_command

VALUE_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

POOL_SETTINGS: dict[str, Any] = {
    "connect_timeout_ms": 250,
    "keepalive_ms": 15_000,
    "drain_grace_ms": 1_000,
    "max_connections": 50,
    "max_buffered_bytes": 10_000_000,
}


@asynccontextmanager
async def open_pool(*servers: FakeServer, **settings: Any) -> AsyncIterator[BackendPool]:
    """Start the servers and a pool that lists them as ready, numbered from 0."""
    loop = asyncio.get_running_loop()
    pool = BackendPool(loop, TimerQueue(loop), **{**POOL_SETTINGS, **settings})
    for number, server in enumerate(servers):
        await server.start()
        pool.update(number, server.address, EndpointState.READY)
    try:
        yield pool
    finally:
        pool.close()
        for server in servers:
            await server.stop()


async def wait_for_reuse_delay(pool: BackendPool) -> None:
    """Wait until the idle connections may be used again."""
    idle = [connection for endpoint in pool.endpoints.values() for connection in endpoint.idle_connections]
    await wait_until(lambda: all(now_ms() - connection.idle_since > REUSE_DELAY_MS for connection in idle))


class RecordedAttempt:
    """An attempt that is started at once, and all ends that were reported of it."""

    def __init__(
        self, pool: BackendPool, backend_id: int = 0, timeout_ms: float = 3000, body: bytes = b""
    ) -> None:
        self.endings: list[tuple[Outcome, bytes]] = []
        self.body = body
        self._ended = asyncio.Event()
        self.attempt = BackendAttempt(
            backend_id=backend_id,
            encode=self._encode,
            deadline=now_ms() + timeout_ms,
            on_end=self._on_end,
        )
        pool.start(self.attempt)

    def _encode(self, timeout_ms: int) -> bytes:
        return encode_command(*request_command(remaining_ms=timeout_ms, body=self.body))

    def _on_end(self, _attempt: BackendAttempt, outcome: Outcome, value: bytes) -> None:
        self.endings.append((outcome, value))
        self._ended.set()

    async def result(self) -> tuple[Outcome, bytes]:
        """Wait for the end; it must be the only one."""
        await self._ended.wait()
        (ending,) = self.endings
        return ending

    async def outcome(self) -> Outcome:
        """Wait for the end and return its outcome."""
        outcome, _ = await self.result()
        return outcome


def scripted(reply: ScriptedReply) -> FakeBackend:
    """Return a backend that sends the same reply to every request."""
    return FakeBackend(always(reply))
