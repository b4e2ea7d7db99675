"""Fake backends, which reply to each request after a fixed latency, with the time that it actually took."""

from __future__ import annotations

import asyncio
import time
from functools import partial

from scale.resp import CommandReader

from .service import FakeService, ServiceConnection

SERVICE_COMMANDS = (b"API.READ", b"API.WRITE")
"""Commands that are answered after the latency; others are answered at once."""


class BackendServerConnection(ServiceConnection):
    """A gateway's connection to a fake backend."""

    def __init__(self, backends: FakeBackends) -> None:
        super().__init__(backends)
        self._backends = backends
        self._commands = CommandReader()

    def process_input(self, data: bytes) -> None:
        """Serve all complete commands."""
        arrived_at = time.monotonic()
        for command in self._commands.feed(data):
            self._backends.serve(self, command, arrived_at)


class FakeBackends(FakeService):
    """Many fake backends in one process; a reply holds the microseconds that its request took."""

    def __init__(self, latency_ms: float) -> None:
        super().__init__()
        self._latency_s = latency_ms / 1000
        self._loop = asyncio.get_running_loop()

    def serve(self, connection: ServiceConnection, command: list[bytes], arrived_at: float) -> None:
        """Reply to a command, at once or after the latency."""
        if command[0] in SERVICE_COMMANDS:
            self._loop.call_later(self._latency_s, partial(self._reply, connection, arrived_at))
        else:
            connection.write(b"+PONG\r\n" if command[0] == b"PING" else b"+OK\r\n")

    def _reply(self, connection: ServiceConnection, arrived_at: float) -> None:
        value = b"%d" % round((time.monotonic() - arrived_at) * 1e6)
        connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))


async def start_backends(ports: int, latency_ms: float) -> tuple[FakeBackends, list[int]]:
    """Start fake backends on `ports` free ports; return them and the port numbers."""
    backends = FakeBackends(latency_ms)
    return backends, await backends.listen(partial(BackendServerConnection, backends), ports)
