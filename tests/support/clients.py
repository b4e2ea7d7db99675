"""Clients on real sockets, and the gateway's parts that serve them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from gateway.network.backends.pool import BackendPool
from gateway.network.clients.listener import ClientLimits, ClientListener
from gateway.network.clients.pending_reply import PendingReply
from gateway.network.clients.request_parser import ClientRequest, RequestParser
from gateway.network.counter.client import CounterClient
from gateway.network.dispatcher import Dispatcher
from gateway.network.timers import TimerQueue
from gateway.policy.settings import Idempotency, Plan, RequestClass
from tests.support.policy_settings import settings
from tests.support.resp_peer import LOCAL, RespPeer
from tests.support.stub_policy import StubPolicy

VIEW = RequestClass("view", 1500, 4000, idempotency=Idempotency.IDEMPOTENT)
PARSER = RequestParser(settings(gateway_count=1, request_classes=(VIEW,), plans=(Plan("free"),)))


@dataclass
class RecordingHandler:
    """Keeps every request until a test replies; stands in for all that is behind the client listener."""

    pending: dict[str, PendingReply] = field(default_factory=dict)
    disconnected: list[str] = field(default_factory=list)
    immediate_reply: bytes = b""

    def on_request(self, command: ClientRequest, slot: PendingReply) -> None:
        self.pending[command.id] = slot
        if self.immediate_reply:
            slot.complete(self.immediate_reply)

    def on_client_disconnected(self, request: str) -> None:
        self.disconnected.append(request)


@contextlib.asynccontextmanager
async def running_listener(
    max_connections: int = 100, memory: int = 1_000_000
) -> AsyncIterator[tuple[ClientListener, RecordingHandler, int]]:
    """A client listener with a recording handler, and its port."""
    loop = asyncio.get_running_loop()
    handler = RecordingHandler()
    listener = ClientListener(
        loop, TimerQueue(loop), handler=handler, parser=PARSER, limits=ClientLimits(max_connections, memory)
    )
    port = listener.listen(LOCAL, 0)
    yield listener, handler, port
    listener.begin_shutdown()
    for connection in list(listener.connections):
        connection.close()


@contextlib.asynccontextmanager
async def running_dispatcher(
    policy: StubPolicy | None = None, counter: CounterClient | None = None, max_connections: int = 10
) -> AsyncIterator[tuple[Dispatcher, StubPolicy, ClientListener, int]]:
    """The sockets of clients and backends, joined to a scripted policy."""
    loop = asyncio.get_running_loop()
    policy = policy or StubPolicy()
    timers = TimerQueue(loop)
    backends = BackendPool(
        loop,
        timers,
        connect_timeout_ms=60_000,
        keepalive_ms=15_000,
        drain_grace_ms=1_000,
        max_connections=max_connections,
        max_buffered_bytes=1_000_000,
    )
    dispatcher = Dispatcher(
        settings(gateway_count=1, request_classes=(VIEW,)),
        seed=1,
        timers=timers,
        backends=backends,
        counter=counter,
        max_open_requests=max_connections,
    )
    dispatcher.policy = policy  # type: ignore[assignment]
    listener = ClientListener(
        loop, timers, handler=dispatcher, parser=PARSER, limits=ClientLimits(max_connections, 1_000_000)
    )
    yield dispatcher, policy, listener, listener.listen(LOCAL, 0)
    listener.begin_shutdown()
    listener.close()
    backends.close()


async def connect(port: int) -> RespPeer:
    return RespPeer(*await asyncio.open_connection(LOCAL, port))


def connect_at_once(port: int, *data: bytes) -> socket.socket:
    """Connect and write in one step: no turn of the gateway's event loop lies between."""
    client = socket.create_connection((LOCAL, port))
    for part in data:
        client.sendall(part)
    return client


async def as_peer(client: socket.socket) -> RespPeer:
    return RespPeer(*await asyncio.open_connection(sock=client))


async def call_between_reads(act: Callable[[], None]) -> None:
    """Act among what the event loop reads in one turn: its timers come next, and then what it reads anew."""
    loop = asyncio.get_running_loop()
    done = asyncio.Event()
    near, far = socket.socketpair()

    def on_readable() -> None:
        loop.remove_reader(near)
        act()
        done.set()

    loop.add_reader(near, on_readable)
    far.send(b"go")
    await done.wait()
    near.close()
    far.close()
