"""Servers whose connections a test accepts and handles itself."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator
from typing import NamedTuple

from gateway.network.address import Address
from tests.support.resp_peer import LOCAL, RespPeer


class ManualServer:
    """Replaces a backend or the counter; a test accepts its connections and writes to them itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server((LOCAL, 0))
        self.listener.setblocking(False)
        self.address = Address(*self.listener.getsockname())

    async def accept_and_receive(self, command_count: int) -> socket.socket:
        """Accept a connection; return it once `command_count` complete commands have been received."""
        connection = await self.accept()
        peer = RespPeer(*await asyncio.open_connection(sock=connection.dup()))
        for _ in range(command_count):
            assert await peer.receive()
        connection.setblocking(True)
        return connection

    async def accept(self) -> socket.socket:
        """Accept a connection without reading from it."""
        connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return connection

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class FullAcceptQueue(NamedTuple):
    """A listening socket that delays new connections, and the clients that fill its accept queue."""

    listener: socket.socket
    queued_clients: list[socket.socket]


@contextlib.contextmanager
def full_accept_queue() -> Iterator[FullAcceptQueue]:
    """Open a listening socket with a full accept queue; to empty it, close and accept its clients."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server((LOCAL, 0), backlog=0))
        queued_clients = [stack.enter_context(socket.socket()) for _ in range(3)]
        for client in queued_clients:
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        yield FullAcceptQueue(listener, queued_clients)
