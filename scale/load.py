"""Clients: requests at an even rate to gateways, whatever becomes of those before."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any, cast

from .histogram import LagMeter, Times
from .resp import cut_answer, encode
from .settings import CLASS, DEADLINE_MS, LOCAL, PLAN, Customers

STEP_S = 0.002  # between two looks at which requests are due
PATIENCE_S = DEADLINE_MS / 1000 + 0.5
MOST_OPEN = 5_000  # requests out at once: over it they are counted as not sent


def attributes(spread: int, first: int) -> bytes:
    """What a request says of itself, where its customer has `spread` gateways from number `first` on."""
    return f"c={CLASS},t={PLAN},d={DEADLINE_MS},units=1,spread={spread},first={first}".encode()


class Request:
    """One request, from its sending to its answer."""

    __slots__ = ("again", "command", "result", "sent_at")

    def __init__(self, command: bytes, result: Result) -> None:
        self.command, self.result = command, result
        self.sent_at = time.monotonic()
        self.again = False  # sent once more, as its connection had been closed under it


class Result:
    """What became of the requests of one run of the clients."""

    def __init__(self) -> None:
        self.sent = self.unsent = self.served = self.refused = self.failed = self.open = 0
        self.latency, self.added = Times(), Times()

    def take(self, request: Request, answer: bytes | None) -> None:
        self.open -= 1
        if answer is not None and answer.startswith(b"$"):
            ms = (time.monotonic() - request.sent_at) * 1000
            self.served += 1
            self.latency.add(ms)
            self.added.add(max(0.0, ms - int(answer[1:]) / 1000))
        elif answer is not None and answer.startswith(b"-BUSY"):
            self.refused += 1
        else:
            self.failed += 1

    def summary(self) -> dict[str, Any]:
        """Numbers of requests, and in milliseconds `latency` and `added`, what a gateway adds to it."""
        return {
            "sent": self.sent,
            "unsent": self.unsent,
            "served": self.served,
            "refused": self.refused,
            "failed": self.failed,
            "latency": self.latency.summary(),
            "added": self.added.summary(),
        }


class Client(asyncio.Protocol):
    """One connection to a gateway, with one request on it at a time."""

    def __init__(self, gateway: GatewayPolicy) -> None:
        self.gateway, self.rest = gateway, b""
        self.request: Request | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: Request) -> None:
        assert self.transport is not None
        self.request = request
        self.transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        self.rest += data
        answer = cut_answer(self.rest)
        if answer is not None and self.request is not None:
            request, self.request, self.rest = self.request, None, b""
            self.gateway.idle.append(self)
            request.result.take(request, answer)

    def connection_lost(self, error: Exception | None) -> None:
        request, self.request, self.transport = self.request, None, None
        self.gateway.lost(self, request, bool(self.rest))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class GatewayPolicy:
    """One gateway as its clients see it: its address and their connections."""

    def __init__(self, index: int, port: int) -> None:
        self.index, self.port = index, port
        self.idle: list[Client] = []
        self.clients: set[Client] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        if self.idle:
            return self.idle.pop().send(request)
        task = asyncio.get_running_loop().create_task(self._connect(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, request: Request) -> None:
        client = Client(self)
        try:
            async with asyncio.timeout(PATIENCE_S):
                await asyncio.get_running_loop().create_connection(lambda: client, LOCAL, self.port)
        except OSError:  # time-outs are among these
            return request.result.take(request, None)
        self.clients.add(client)
        client.send(request)

    def lost(self, client: Client, request: Request | None, begun: bool) -> None:
        self.clients.discard(client)
        if client in self.idle:
            self.idle.remove(client)
        if request is None:
            return
        if begun or request.again:
            return request.result.take(request, None)
        request.again = True  # a gateway may close a connection between requests: it may not have been read
        self.send(request)

    def give_up(self, before: float) -> None:
        """Leave what was sent before a time and has no answer yet."""
        for client in list(self.clients):
            if (request := client.request) is not None and request.sent_at < before:
                client.request = None
                client.close()
                request.result.take(request, None)


class Load:
    """The clients of one process, and how late it ran."""

    def __init__(self) -> None:
        self.gateways: list[GatewayPolicy] = []
        self.ids = itertools.count(1)
        self.lag = LagMeter()

    async def connect(
        self, gateways: list[list[int]], customers: int, fleet: int, spread: int, seed: int
    ) -> None:
        """Name the gateways, each by its number and port, and the customers of the fleet."""
        self.gateways = [GatewayPolicy(index, port) for index, port in gateways]
        self.customers = Customers(customers, fleet, spread, seed)

    async def run(self, rate: float, seconds: float) -> dict[str, Any]:
        """Send `rate` requests a second over all gateways, and wait for the answers."""
        result, started, due = Result(), time.monotonic(), 0
        total = int(rate * seconds)
        while due < total:
            now = time.monotonic()
            while due < total and started + due / rate <= now:
                self._send(self.gateways[due % len(self.gateways)], result)
                due += 1
            self._give_up(now - PATIENCE_S)
            await asyncio.sleep(STEP_S)
        end = time.monotonic() + PATIENCE_S
        while result.open and time.monotonic() < end:
            await asyncio.sleep(STEP_S)
        self._give_up(end)
        return result.summary()

    def _send(self, gateway: GatewayPolicy, result: Result) -> None:
        if result.open >= MOST_OPEN:
            result.unsent += 1
            return
        customer, first = self.customers.pick(gateway.index)
        args = b"%016x" % customer, b"%016x" % next(self.ids), attributes(self.customers.spread, first)
        command = encode(b"API.READ", *args)
        result.sent += 1
        result.open += 1
        gateway.send(Request(command, result))

    def _give_up(self, before: float) -> None:
        for gateway in self.gateways:
            gateway.give_up(before)

    async def begin(self) -> None:
        """Count lateness from here on."""
        self.lag.begin()

    async def read(self) -> dict[str, Any]:
        """How late this process ran in all that was measured."""
        return {"lag": self.lag.read()}

    def close(self) -> None:
        self.lag.close()
        for gateway in self.gateways:
            for client in list(gateway.clients):
                client.close()
