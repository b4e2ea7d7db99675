"""Stand-ins for discovery's agent, the counter and the backends."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from .record import Record
from .wire import attributes_of, encode_value, parse_command

LOCAL = "127.0.0.1"
HEARTBEAT_S = 1.0


def listed(host: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return an entry of the endpoint list."""
    entry = {
        "host": host,
        "dial": f"{LOCAL}:{port}",
        "site": "ba-ruzinov",
        "class": "new-2c",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
    }
    return entry | changes


class Discovery:
    """The agent of discovery: answers at once with the list, and keeps watches open."""

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.port = 0
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def message(self, hosts: list[dict[str, Any]], *, whole: bool) -> bytes:
        """Return a message of the list as one line."""
        text = json.dumps({"seq": self.version, "whole": whole, "hosts": hosts}, separators=(",", ":"))
        return text.encode() + b"\n"

    def change(self, name: str, /, **changes: Any) -> None:
        """Change an entry of the list, and tell all open watches."""
        self.version += 1
        entry = self.hosts[name] | changes
        if entry["health"] == "removed":
            del self.hosts[name]
        else:
            self.hosts[name] = entry
        for writer in self._watches:
            self._write_chunk(writer, self.message([entry], whole=False))

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            if "stream=1" in target:
                await self._watch(writer, int(target.rpartition("=")[2]))
            else:
                body = self.message(list(self.hosts.values()), whole=True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, version: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if version != self.version:
            self._write_chunk(writer, self.message(list(self.hosts.values()), whole=True))
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                self._write_chunk(writer, b"\n")
                await writer.drain()
        finally:
            self._watches.discard(writer)


class Counter:
    """The counter: adds amounts to named totals."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, float]] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def tally(self, name: str, amount: float, life_ms: float) -> float:
        """Add an amount to a total, which is forgotten when its life is over, and return it."""
        now = asyncio.get_running_loop().time()
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(life_ms, 60_000) / 1000
        self.totals[name] = (total + amount, expires_at)
        return total + amount

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                fields = line.decode().split()
                if fields[0] == "ping":
                    writer.write(b"pong\r\n")
                else:
                    total = self.tally(fields[1], float(fields[2]), float(fields[3]))
                    writer.write(b"ok %.6f\r\n" % total)
        writer.close()


@dataclass
class Run:
    """One run of a request at a backend."""

    at: float
    backend: str
    command: list[bytes]
    attributes: dict[str, str]

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.command[2].decode()


def value_of(command: list[bytes]) -> bytes:
    """Return the value that backends make for a request; no two requests have the same."""
    return b"value of " + command[2]


@dataclass
class Fleet:
    """What all backends share: the record, the keys that they have seen, and the runs."""

    record: Record
    latency_s: Callable[[], float] = lambda: 0.03
    link_s: float = 0.0
    """Time that bytes take from a gateway to a backend, and back."""
    second_answer_s: Callable[[], float | None] = lambda: None
    """Seconds after an answer at which a second copy of it follows; None for no copy."""
    windows_s: dict[str, float] = field(default_factory=dict)
    """Seconds for which backends drop repeats of a key, by class."""
    runs: list[Run] = field(default_factory=list)
    second_answers: int = 0
    keys: dict[tuple[str, str], float] = field(default_factory=dict)

    def run(self, backend: str, command: list[bytes]) -> None:
        """Record that a backend has started a command; drop a repeat of a key."""
        attributes = attributes_of(command)
        now = self.record.now()
        name = attributes["c"]
        text = (
            f"{backend} {command[2].decode()} customer={command[1].decode()} class={name} d={attributes['d']}"
        )
        if key := attributes.get("k", ""):
            first_at = self.keys.get((name, key))
            if first_at is not None and now - first_at < self.windows_s[name]:
                self.record.add(f"dropped repeat {text} k={key}, first run {now - first_at:.3f} s before")
                return
            self.keys[name, key] = now
            text += f" k={key}"
        self.record.add(f"run {text}")
        self.runs.append(Run(now, backend, command, attributes))


class BackendConnection(asyncio.Protocol):
    """A connection of a gateway to a backend; the link in between may take time."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.fleet = backend.fleet
        self.buffer = b""
        self.waiting = 0
        """Number of requests that wait for an answer on this connection."""
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.backend.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Forget the connection; work on it stops."""
        self.backend.connections.discard(self)

    def after_link(self, call: Callable[[], None]) -> None:
        """Call after the time that bytes take on the link."""
        if self.fleet.link_s:
            self.loop.call_later(self.fleet.link_s, call)
        else:
            call()

    def data_received(self, data: bytes) -> None:
        """Let bytes arrive at the backend."""
        self.after_link(partial(self.arrive, data))

    def arrive(self, data: bytes) -> None:
        """Start the commands that are complete."""
        self.buffer += data
        while (parsed := parse_command(self.buffer)) is not None:
            command, end = parsed
            self.buffer = self.buffer[end:]
            self.waiting += 1
            self.backend.serve(self, command)

    def answer(self, command: list[bytes]) -> None:
        """Send the answer to a command, and perhaps a second copy of it later."""
        if self.transport.is_closing():
            return
        self.waiting -= 1
        reply = encode_value(value_of(command))
        self.send(reply)
        delay_s = self.fleet.second_answer_s()
        if delay_s is not None:
            self.loop.call_later(delay_s, partial(self.answer_again, command, reply))

    def answer_again(self, command: list[bytes], reply: bytes) -> None:
        """Send a second copy of an answer, if nothing else waits on the connection."""
        if self.waiting or self.buffer or self.transport.is_closing():
            return
        self.fleet.second_answers += 1
        self.fleet.record.add(f"second answer of {self.backend.name} to {command[2].decode()}")
        self.send(reply)

    def send(self, data: bytes) -> None:
        """Send bytes on the link."""
        self.after_link(partial(self.write, data))

    def write(self, data: bytes) -> None:
        """Let bytes arrive at the gateway."""
        if not self.transport.is_closing():
            self.transport.write(data)


class Backend:
    """A backend: runs each command once its last byte has arrived, and answers after its latency."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.fleet = fleet
        self.port = 0
        self.hangs = False
        """Whether it takes work and answers nothing."""
        self.connections: set[BackendConnection] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(partial(BackendConnection, self), LOCAL, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def serve(self, connection: BackendConnection, command: list[bytes]) -> None:
        """Run a command, and answer it unless the backend hangs."""
        self.fleet.run(self.name, command)
        if not self.hangs:
            connection.loop.call_later(self.fleet.latency_s(), partial(connection.answer, command))
