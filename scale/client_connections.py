"""The clients' connections to a real gateway, each with at most one request in flight."""

from __future__ import annotations

import asyncio
from typing import cast

from .gateway_configuration import DEADLINE_MS, LOOPBACK
from .load_result import LoadRequest
from .resp import parse_reply

REQUEST_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5
"""Timeout of a request, in seconds: the deadline for the gateway's reply, plus time for the network."""


class ClientConnection(asyncio.Protocol):
    """A connection to a gateway, with at most one request in flight."""

    def __init__(self, target: GatewayTarget) -> None:
        self._target = target
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self.request: LoadRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from `asyncio.Transport`.
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: LoadRequest) -> None:
        """Send a request on this idle connection."""
        assert self._transport is not None
        self.request = request
        self._transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        """Record the reply once it is complete, and mark the connection as idle."""
        self._buffer += data
        reply = parse_reply(self._buffer)
        if reply is None or self.request is None:
            return
        request = self.request
        self.request = None
        self._buffer = b""
        self._target.idle_connections.append(self)
        request.end(reply)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the protocol's signature
        """Pass the request in flight, if there is one, back to the target."""
        request = self.request
        self.request = None
        self._transport = None
        self._target.on_connection_lost(self, request, reply_begun=bool(self._buffer))

    def expire_request(self, sent_before: float) -> None:
        """Fail the request in flight and abort the connection, if the request was sent before `sent_before`.

        `sent_before` is in monotonic seconds.
        """
        request = self.request
        if request is None or request.sent_at >= sent_before:
            return
        self.request = None
        self.close()
        request.end(None)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class GatewayTarget:
    """The address of one gateway, and the clients' connections to it."""

    def __init__(self, index: int, port: int) -> None:
        self.index = index
        self.idle_connections: list[ClientConnection] = []
        self._port = port
        self._connections: set[ClientConnection] = set()
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def send(self, request: LoadRequest) -> None:
        """Send a request on an idle connection, or on a new one."""
        if self.idle_connections:
            self.idle_connections.pop().send(request)
            return
        task = asyncio.get_running_loop().create_task(self._connect_and_send(request))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect_and_send(self, request: LoadRequest) -> None:
        connection = ClientConnection(self)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await loop.create_connection(lambda: connection, LOOPBACK, self._port)
        except OSError:  # includes TimeoutError
            request.end(None)
            return
        self._connections.add(connection)
        connection.send(request)

    def on_connection_lost(
        self, connection: ClientConnection, request: LoadRequest | None, *, reply_begun: bool
    ) -> None:
        """Remove the connection; retry its request once, unless a part of the reply had arrived.

        The retry is needed because a gateway may close an idle connection.
        """
        self._connections.discard(connection)
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        if request is None:
            return
        if reply_begun or request.is_retry:
            request.end(None)
            return
        request.is_retry = True
        self.send(request)

    def expire_requests(self, sent_before: float) -> None:
        """Fail the requests in flight that were sent before `sent_before`, in monotonic seconds."""
        for connection in list(self._connections):
            connection.expire_request(sent_before)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.close()
