"""Stand-ins for backends, discovery and the counter, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .record import Record
from .resp import CommandReader

LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 2.0
"""Seconds between two empty lines on a watch."""


def encode_answer(value: bytes) -> bytes:
    """Return a backend's answer with a value, without figures on use and without a load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def attributes_of(command: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request."""
    return dict(item.split("=", 1) for item in command[3].decode().split(",") if "=" in item)


class BackendConnection:
    """A connection of a gateway to a backend; its commands are answered in order."""

    def __init__(self, backend: Backend, writer: asyncio.StreamWriter) -> None:
        self.backend = backend
        self.writer = writer
        self.waiting = 0
        """Commands that have arrived and are not answered yet."""

    def write(self, data: bytes) -> None:
        """Send bytes, if the connection is still open."""
        if not self.writer.is_closing():
            self.writer.write(data)


Serve = Callable[[BackendConnection, list[bytes]], Awaitable[None]]


class Backend:
    """A backend, which hands each request to `serve` and records it."""

    def __init__(self, name: str, record: Record, serve: Serve) -> None:
        self.name = name
        self.record = record
        self.serve = serve
        self.ran: list[tuple[float, list[bytes]]] = []
        """Commands that have arrived, with the monotonic time of the last byte."""
        self.port = 0
        self.connections: set[BackendConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, backlog: int = 4096) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, LOOPBACK, 0, backlog=backlog)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = BackendConnection(self, writer)
        self.connections.add(connection)
        commands = CommandReader()
        answers: asyncio.Queue[list[bytes]] = asyncio.Queue()
        worker = asyncio.ensure_future(self._answer_in_order(connection, answers))
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                for command in commands.feed(data):
                    self._on_command(connection, command, answers)
        worker.cancel()
        self.connections.discard(connection)
        writer.close()

    def _on_command(
        self, connection: BackendConnection, command: list[bytes], answers: asyncio.Queue[list[bytes]]
    ) -> None:
        if not command[0].upper().startswith(b"API."):
            connection.write(b"+PONG\r\n" if command[0].upper() == b"PING" else b"+OK\r\n")
            return
        self.ran.append((time.monotonic(), command))
        self.record.note(f"run      {command[2].decode()} at {self.name} {command[3].decode()}")
        connection.waiting += 1
        answers.put_nowait(command)

    async def _answer_in_order(
        self, connection: BackendConnection, answers: asyncio.Queue[list[bytes]]
    ) -> None:
        while True:
            command = await answers.get()
            await self.serve(connection, command)
            connection.waiting -= 1


class Discovery:
    """Discovery or its agent: answers with the whole list, and sends changes to the open watches.

    `answers_after_s` is how long each call waits for its turn; changes are sent to an open watch at once.
    """

    def __init__(self, record: Record, answers_after_s: float = 0.0) -> None:
        self.record = record
        self.answers_after_s = answers_after_s
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.port = 0
        self.watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    def add(self, name: str, port: int, **changes: Any) -> None:
        """Add a backend to the list without telling the watches."""
        entry = {"host": name, "dial": f"{LOOPBACK}:{port}", "site": "a", "class": "m2", "block": 1}
        self.hosts[name] = {**entry, "health": "up", "share": 1.0, "born_ms": 0, **changes}

    def change(self, name: str, **changes: Any) -> None:
        """Change a backend and tell the watches."""
        self.seq += 1
        self.hosts[name].update(changes)
        self.record.note(f"told     {name} {changes} seq {self.seq} to {len(self.watches)} watches")
        text = self._message(whole=False, hosts=[self.hosts[name]])
        for writer in list(self.watches):
            writer.write(_chunk(text))

    def _message(self, *, whole: bool, hosts: list[dict[str, Any]]) -> bytes:
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}, separators=(",", ":")).encode()

    def _whole(self) -> bytes:
        return self._message(
            whole=True, hosts=[entry for entry in self.hosts.values() if entry["health"] != "removed"]
        )

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.record.note(f"asked    {target}")
            await asyncio.sleep(self.answers_after_s)
            self.record.note(f"answers  {target}")
            if "stream=1" in target:
                await self._watch(reader, writer, int(target.rpartition("index=")[2]))
                return
            body = self._whole()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway has closed the call, or the case ends
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, index: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if index != self.seq:
            writer.write(_chunk(self._whole()))
        self.watches.add(writer)
        await reader.read()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in list(self.watches):
                writer.write(_chunk(b""))


def _chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


class Counter:
    """The quota counter, which keeps each total for the life that its first call names."""

    def __init__(self) -> None:
        self.port = 0
        self._totals: dict[bytes, tuple[float, float]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def call(self, line: bytes) -> bytes:
        """Return the answer to one line."""
        words = line.split()
        if words == [b"ping"]:
            return b"pong\r\n"
        if len(words) != 4 or words[0] != b"tally":
            return b"error\r\n"
        now = time.monotonic()
        ends_at, total = self._totals.get(words[1], (0.0, 0.0))
        if ends_at < now:
            ends_at, total = now + min(60_000.0, float(words[3])) / 1000, 0.0
        self._totals[words[1]] = (ends_at, total + float(words[2]))
        return b"ok %.3f\r\n" % (total + float(words[2]))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                writer.write(self.call(line))
        writer.close()
