"""Fakes of the backends, the counter and discovery, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from gateway.network.address import Address
from tests.support.event_loop import wait_until
from tests.support.resp_peer import LOCAL, RespPeer


class FakeServer:
    """Listens on a port of its own and passes every connection to `handle_connection`."""

    def __init__(self) -> None:
        self.open_connections: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted_count = 0
        self.port = 0

    @property
    def address(self) -> Address:
        """The address at which the server listens, once it has started."""
        return Address(LOCAL, self.port)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.open_connections.add(writer)
        self.accepted_count += 1
        try:
            await self.handle_connection(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_connections.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close_connections(self) -> None:
        for writer in self.open_connections:
            writer.close()

    async def stop(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await wait_until(lambda: not self.tasks)


ScriptedReply = bytes | None
"""The reply of a scripted server; None means no reply, and b"" closes the connection."""

Script = Callable[[list[bytes]], Awaitable[ScriptedReply]]
"""Returns the reply to a command or a counter call, given its fields."""


def always(reply: ScriptedReply) -> Script:
    """Return a script that gives the same reply to every command or call."""

    async def script(_fields: list[bytes]) -> ScriptedReply:
        return reply

    return script


class FakeBackend(FakeServer):
    """Replies to each command with what `script` returns, by default a value."""

    def __init__(self, script: Script | None = None) -> None:
        super().__init__()
        self.script = script or self.serve
        self.received: list[list[bytes]] = []
        """The commands received, in order."""
        self.closed_by_gateway_count = 0
        """Number of connections that the gateway closed."""

    async def serve(self, _command: list[bytes]) -> ScriptedReply:
        """Return a reply with a value, but without usage figures and a load report."""
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = RespPeer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.received.append(command)
            reply = await self.script(command)
            if reply == b"":
                return
            if reply:
                writer.write(reply)
        self.closed_by_gateway_count += 1


class FakeCounter(FakeServer):
    """Keeps totals by name; responds with the new total, or with what `script` returns if it is set."""

    def __init__(self, script: Script | None = None) -> None:
        super().__init__()
        self.script = script
        self.totals: dict[bytes, float] = {}
        self.received: list[list[bytes]] = []
        """The calls received, in order, each as its fields: command, name, amount, time to live in ms."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            assert line.endswith(b"\r\n")
            fields = line.split()
            command, name, amount, _ttl_ms = fields
            assert command == b"tally"
            self.received.append(fields)
            self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            reply: ScriptedReply = b"ok %.3f\r\n" % self.totals[name]
            if self.script is not None:
                reply = await self.script(fields)
            if reply == b"":
                return
            if reply:
                writer.write(reply)


class FakeDiscovery(FakeServer):
    """Responds to snapshot calls with `snapshot`; keeps watches open, and a test sends lines on them."""

    def __init__(self) -> None:
        super().__init__()
        self.request_targets: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.snapshot = endpoint_list_message(1)
        self.indent: int | None = None

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.request_targets.append(target)
        if "stream=1" not in target:
            body = json.dumps(self.snapshot, indent=self.indent).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        await reader.read()

    def send_line(self, line: bytes, watch_index: int = -1) -> None:
        """Send a line on one of the `watches`, by default the newest."""
        self.watches[watch_index].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def send_update(self, version: int, *entries: dict[str, Any], is_snapshot: bool = False) -> None:
        """Send a delta, or a snapshot if `is_snapshot` is set, on the newest watch."""
        message = endpoint_list_message(version, *entries, is_snapshot=is_snapshot)
        self.send_line(json.dumps(message).encode())


class PausedDiscovery(FakeDiscovery):
    """Accepts calls, and sends nothing until `resumed` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed = asyncio.Event()
        self.call_count = 0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.call_count += 1
        await self.resumed.wait()
        await super().handle_connection(reader, writer)


def endpoint_list_message(version: int, *entries: dict[str, Any], is_snapshot: bool = True) -> dict[str, Any]:
    """Return a snapshot or a delta of the endpoint list, as discovery sends it."""
    return {"seq": version, "whole": is_snapshot, "hosts": list(entries)}


def endpoint_entry(name: str, port: int, health: str = "up", born_ms: float = 0) -> dict[str, Any]:
    """Return an entry of the endpoint list, as discovery sends it."""
    return {
        "host": name,
        "dial": f"{LOCAL}:{port}",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


@asynccontextmanager
async def running_servers(*servers: FakeServer) -> AsyncIterator[None]:
    """Start the servers, and stop them at the end of the block."""
    for server in servers:
        await server.start()
    try:
        yield
    finally:
        for server in servers:
            await server.stop()
