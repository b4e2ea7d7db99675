"""Base classes of the fake services: listening sockets, open connections and counts of bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from scale.gateway_configuration import LOOPBACK

LISTEN_BACKLOG = 4096
"""Connections that may wait to be accepted; large, because all gateways of a fleet start at once."""


class ServiceConnection(asyncio.Protocol):
    """A connection to a fake service, which counts the connection's bytes."""

    def __init__(self, service: FakeService) -> None:
        self._service = service
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the service."""
        # uvloop's transports do not derive from `asyncio.Transport`.
        self.transport = cast(asyncio.Transport, transport)
        self._service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the protocol's signature
        """Remove the connection from the service."""
        self.transport = None
        self._service.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Count the received bytes and process them."""
        self._service.count_received(len(data))
        self.process_input(data)

    def process_input(self, data: bytes) -> None:
        """Process received bytes, and respond to complete requests."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Count and send bytes, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self._service.count_sent(len(data))
            self.transport.write(data)


class FakeService:
    """A fake service, which listens on free ports of the loopback address."""

    def __init__(self) -> None:
        self.connections: set[ServiceConnection] = set()
        self._bytes_sent = 0
        self._bytes_received = 0
        self._servers: list[asyncio.Server] = []

    async def listen(self, protocol_factory: Callable[[], ServiceConnection], ports: int = 1) -> list[int]:
        """Listen on `ports` free ports, and return their numbers."""
        loop = asyncio.get_running_loop()
        for _ in range(ports):
            server = await loop.create_server(protocol_factory, LOOPBACK, 0, backlog=LISTEN_BACKLOG)
            self._servers.append(server)
        return [server.sockets[0].getsockname()[1] for server in self._servers]

    def count_sent(self, size: int) -> None:
        """Count bytes that were sent."""
        self._bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count bytes that were received."""
        self._bytes_received += size

    def counts(self) -> dict[str, int]:
        """Return the bytes that were sent and received since `begin`."""
        return {"sent": self._bytes_sent, "received": self._bytes_received}

    def begin(self) -> None:
        """Begin a measured phase: reset all counts."""
        self._bytes_sent = 0
        self._bytes_received = 0

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
