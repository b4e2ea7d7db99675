"""Stand-ins for what surrounds a gateway: discovery, the counter and the backends, on loopback ports."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, cast

from .catalog import Catalog
from .histogram import LagMeter
from .resp import CommandCutter
from .settings import LOCAL

HEARTBEAT_S = 2.0
PATH = b"/catalog/members"
KEPT = 20_000  # changes that a new watch may be told one by one; before these it gets the whole list
LARGEST_HEAD = 64 * 1024
PURGE_S = 5.0
MOST_LIFE_MS = 60_000.0


class Talk(asyncio.Protocol):
    """One connection to a stand-in, with the bytes that its owner counts."""

    def __init__(self, owner: StandIn) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.owner.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.owner.open.discard(self)

    def data_received(self, data: bytes) -> None:
        self.owner.received += len(data)
        self.take(data)

    def take(self, data: bytes) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.owner.sent += len(data)
            self.transport.write(data)


class StandIn:
    """Listens on free ports of the loopback address; `sent` and `received` count its bytes."""

    def __init__(self) -> None:
        self.open: set[Talk] = set()
        self.sent = self.received = 0
        self.servers: list[asyncio.Server] = []

    async def listen(self, talk: Callable[[], Talk], ports: int = 1) -> list[int]:
        loop = asyncio.get_running_loop()
        for _ in range(ports):
            self.servers.append(await loop.create_server(talk, LOCAL, 0, backlog=4096))
        return [server.sockets[0].getsockname()[1] for server in self.servers]

    def begin(self) -> None:
        """Count from here on."""
        self.sent = self.received = 0

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for talk in list(self.open):
            if talk.transport is not None:
                talk.transport.abort()


class Watch(Talk):
    """A connection to discovery: a call for the list, or a watch from then on."""

    def take(self, data: bytes) -> None:
        self.rest += data
        if b"\r\n\r\n" in self.rest:
            target, self.rest = self.rest.split(b" ", 2)[1], b""
            cast(Discovery, self.owner).asked(self, target)
        elif len(self.rest) > LARGEST_HEAD and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        cast(Discovery, self.owner).watches.pop(self, None)
        super().connection_lost(error)


class Message(NamedTuple):
    """One object of a watch: its version, its bytes, and the hosts whose change it tells."""

    seq: int
    line: bytes
    hosts: list[str]


class Discovery(StandIn):
    """Tells the list of `catalog` and pushes its changes to whoever watches."""

    def __init__(self, catalog: Catalog) -> None:
        super().__init__()
        self.catalog = catalog
        self.watches: dict[Watch, None] = {}  # in the order of their coming
        self.kept: deque[tuple[int, bytes]] = deque(maxlen=KEPT)  # version and line of the last changes
        self.ready: dict[int, list[Message]] = {}
        self.serial = itertools.count()
        self.task = asyncio.get_running_loop().create_task(self._heartbeat())

    def asked(self, watch: Watch, target: bytes) -> None:
        path, _, query = target.partition(b"?")
        given = dict(item.partition(b"=")[::2] for item in query.split(b"&"))
        if path != PATH:
            watch.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif given.get(b"stream") != b"1":
            body = self.catalog.whole()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            watch.write(head % len(body))
            watch.write(body)
        else:
            index = int(given.get(b"index") or b"0")
            watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in self._since(index):
                watch.write(chunk(line))
            self.watches[watch] = None

    def _since(self, index: int) -> list[bytes]:
        if index == self.told:
            return []
        lines = [line for seq, line in self.kept if seq > index]
        return lines if lines and self.kept[0][0] <= index + 1 <= self.told else [self.catalog.whole()]

    @property
    def told(self) -> int:
        return self.kept[-1][0] if self.kept else 1

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for watch in list(self.watches):
                watch.write(b"1\r\n\n\r\n")

    def prepare(self, counts: list[int], marked: bool = False) -> int:
        """Make messages of so many changes each, and one that marks their end.

        `tell` tells them, given the number that this gives.
        """
        number = next(self.serial)
        messages = self.ready[number] = []
        catalog = self.catalog
        changes: list[Callable[[], tuple[bytes, list[str]]]]
        changes = [partial(catalog.change, count) for count in counts]
        for change in (*changes, catalog.change_marker) if marked else changes:
            line, hosts = change()
            messages.append(Message(self.catalog.seq, line, hosts))
        return number

    def tell(self, number: int) -> dict[str, Any]:
        """Write what was prepared, at once; gives the time of it (`at`, seconds, monotonic) and the hosts."""
        messages = self.ready.pop(number)
        written = b"".join(chunk(message.line) for message in messages)
        self.kept.extend((message.seq, message.line) for message in messages)
        at = time.monotonic()
        for watch in list(self.watches):
            watch.write(written)
        return {"at": at, "hosts": [host for message in messages for host in message.hosts]}

    async def tell_evenly(self, rate: float, seconds: float) -> list[dict[str, Any]]:
        """Tell `rate` changes a second, each a message of its own, for so many seconds."""
        started, told = time.monotonic(), []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
            told.append(self.tell(self.prepare([1])))
        await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))
        return told

    def close(self) -> None:
        self.task.cancel()
        super().close()


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


class Line(Talk):
    """A connection to the counter: calls as lines of text."""

    def take(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        counter = cast(Counter, self.owner)
        if answers := [counter.answer(line) for line in lines]:
            self.write(b"".join(answers))


class Counter(StandIn):
    """Keeps totals by name, each for its life; `calls` counts those answered."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, list[float]] = {}  # total, and when its life ends
        self.calls = 0
        self.task = asyncio.get_running_loop().create_task(self._purge())

    def begin(self) -> None:
        super().begin()
        self.calls = 0

    def answer(self, line: bytes) -> bytes:
        if line == b"ping":
            return b"pong\r\n"
        try:
            verb, name, amount, life = line.split()
            added, until = float(amount), time.monotonic() + min(MOST_LIFE_MS, float(life)) / 1000
        except ValueError:
            return b"error\r\n"
        if verb != b"tally":
            return b"error\r\n"
        self.calls += 1
        kept = self.totals.get(name)
        if kept is None or kept[1] < time.monotonic():
            kept = self.totals[name] = [0.0, until]
        kept[0] += added
        return b"ok %.3f\r\n" % kept[0]

    async def _purge(self) -> None:
        while True:
            await asyncio.sleep(PURGE_S)
            now = time.monotonic()
            for name in [name for name, kept in self.totals.items() if kept[1] < now]:
                del self.totals[name]

    def close(self) -> None:
        self.task.cancel()
        super().close()


class Command(Talk):
    """A connection to a backend."""

    def __init__(self, owner: StandIn) -> None:
        super().__init__(owner)
        self.commands = CommandCutter()

    def take(self, data: bytes) -> None:
        arrived = time.monotonic()
        for command in self.commands.cut(data):
            cast(Backends, self.owner).serve(self, command, arrived)


class Backends(StandIn):
    """Answers each request after `latency` milliseconds with the microseconds that it really took."""

    def __init__(self, latency: float) -> None:
        super().__init__()
        self.latency, self.served = latency, 0
        self.loop = asyncio.get_running_loop()

    def begin(self) -> None:
        super().begin()
        self.served = 0

    def serve(self, talk: Talk, command: list[bytes], arrived: float) -> None:
        if command[0] in (b"API.READ", b"API.WRITE"):
            self.loop.call_later(self.latency / 1000, partial(self._answer, talk, arrived))
        else:
            talk.write(b"+PONG\r\n" if command[0] == b"PING" else b"+OK\r\n")

    def _answer(self, talk: Talk, arrived: float) -> None:
        self.served += 1
        value = b"%d" % round((time.monotonic() - arrived) * 1e6)
        talk.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))


class StandIns:
    """The stand-ins of one process, and how late it ran."""

    def __init__(self) -> None:
        self.parts: dict[str, StandIn] = {}
        self.lag = LagMeter()

    def _discovery(self) -> Discovery:
        return cast(Discovery, self.parts["discovery"])

    async def start_discovery(self, backends: int, ports: list[int], seed: int) -> int:
        """Start discovery with a list of so many backends; gives its port."""
        discovery = self.parts["discovery"] = Discovery(Catalog(backends, ports, seed))
        discovery.catalog.whole()
        return (await discovery.listen(partial(Watch, discovery)))[0]

    async def start_counter(self) -> int:
        """Start the counter; gives its port."""
        counter = self.parts["counter"] = Counter()
        return (await counter.listen(partial(Line, counter)))[0]

    async def start_backends(self, ports: int, latency: float) -> list[int]:
        """Start backends on so many ports; `latency` in milliseconds; gives the ports."""
        backends = self.parts["backends"] = Backends(latency)
        return await backends.listen(partial(Command, backends), ports)

    async def watches(self, wanted: int) -> int:
        """Wait until so many watch the list; gives how many do."""
        discovery = self._discovery()
        while len(discovery.watches) < wanted:
            await asyncio.sleep(0.01)
        return len(discovery.watches)

    async def marker(self) -> str:
        """The host whose change marks the end of others."""
        catalog = self._discovery().catalog
        return str(catalog.hosts[catalog.marker]["host"])

    async def prepare(self, counts: list[int], marked: bool) -> int:
        return self._discovery().prepare(counts, marked)

    async def tell(self, number: int) -> dict[str, Any]:
        return self._discovery().tell(number)

    async def tell_evenly(self, rate: float, seconds: float) -> list[dict[str, Any]]:
        return await self._discovery().tell_evenly(rate, seconds)

    async def begin(self) -> None:
        """Count bytes, calls and lateness from here on."""
        for part in self.parts.values():
            part.begin()
        self.lag.begin()

    async def read(self) -> dict[str, Any]:
        """What has been counted since `begin`; lateness is over all that was measured."""
        read: dict[str, Any] = {"lag": self.lag.read()}
        for name, part in self.parts.items():
            read[name] = {"sent": part.sent, "received": part.received}
            if isinstance(part, Counter):
                read[name]["calls"] = part.calls
        return read

    async def stall(self, ms: float) -> None:
        """Hold this process up, as a crowded machine would."""
        time.sleep(ms / 1000)

    def close(self) -> None:
        self.lag.close()
        for part in self.parts.values():
            part.close()
