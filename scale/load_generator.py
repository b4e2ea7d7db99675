"""The worker role of the clients: requests at an even rate to real gateways, and what becomes of them."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from typing import cast

from .customers import CustomerPopulation, Customers
from .figures import LatencySummary, LoadSummary
from .gateway_configuration import DEADLINE_MS, LOOPBACK
from .histogram import LagMeter, LatencyHistogram
from .pacing import due_requests
from .resp import encode_command, parse_reply

SEND_INTERVAL_S = 0.002
"""Interval between two checks of which requests are due."""

REQUEST_TIMEOUT_S = DEADLINE_MS / 1000 + 0.5
"""How long a client waits: the deadline, within which a gateway responds, and time for the network."""

MAX_OPEN_REQUESTS = 5_000
"""Requests in flight at once; those beyond are counted as unsent."""


@dataclass
class LoadResult:
    """What became of the requests of one run of the clients."""

    sent: int = 0
    unsent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    in_flight: int = 0
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    added_latency: LatencyHistogram = field(default_factory=LatencyHistogram)

    def begin_request(self) -> bool:
        """Count a request as sent; False, and counted as unsent, where too many are in flight."""
        if self.in_flight >= MAX_OPEN_REQUESTS:
            self.unsent += 1
            return False
        self.sent += 1
        self.in_flight += 1
        return True

    def end_request(self, request: LoadRequest, reply: bytes | None) -> None:
        """Count what became of a request; None: there was no reply."""
        self.in_flight -= 1
        if reply is not None and reply.startswith(b"$"):
            latency_ms = (time.monotonic() - request.sent_at) * 1000
            backend_ms = int(reply[1:]) / 1000
            self.served += 1
            self.latency.record(latency_ms)
            self.added_latency.record(max(0.0, latency_ms - backend_ms))
        elif reply is not None and reply.startswith(b"-BUSY"):
            self.rejected += 1
        else:
            self.failed += 1

    def summary(self) -> LoadSummary:
        """Return the counts of requests and the summaries of their latencies."""
        return {
            "sent": self.sent,
            "unsent": self.unsent,
            "served": self.served,
            "rejected": self.rejected,
            "failed": self.failed,
            "latency": self.latency.summary(),
            "added_latency": self.added_latency.summary(),
        }


class LoadRequest:
    """One request, from its sending to its reply."""

    __slots__ = ("command", "is_retry", "result", "sent_at")

    def __init__(self, command: bytes, result: LoadResult) -> None:
        self.command = command
        self.result = result
        self.sent_at = time.monotonic()
        self.is_retry = False

    def end(self, reply: bytes | None) -> None:
        """Count what became of the request; None: there was no reply."""
        self.result.end_request(self, reply)


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway, with one request on it at a time."""

    def __init__(self, target: GatewayTarget) -> None:
        self._target = target
        self._unread = b""
        self._transport: asyncio.Transport | None = None
        self.request: LoadRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def send(self, request: LoadRequest) -> None:
        """Send a request on this idle connection."""
        assert self._transport is not None
        self.request = request
        self._transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        """Record the reply once it is complete, and become idle."""
        self._unread += data
        reply = parse_reply(self._unread)
        if reply is None or self.request is None:
            return
        request = self.request
        self.request = None
        self._unread = b""
        self._target.idle_connections.append(self)
        request.end(reply)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the protocol's signature
        """Hand the open request back to the target."""
        request = self.request
        self.request = None
        self._transport = None
        self._target.on_connection_lost(self, request, reply_begun=bool(self._unread))

    def expire_request(self, sent_before: float) -> None:
        """Fail the open request and abort the connection, if the request was sent before a time."""
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
    """One gateway as its clients see it: its address and their connections."""

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
        except OSError:  # time-outs are among these
            request.end(None)
            return
        self._connections.add(connection)
        connection.send(request)

    def on_connection_lost(
        self, connection: ClientConnection, request: LoadRequest | None, *, reply_begun: bool
    ) -> None:
        """Retry the request once, unless its reply had begun: a gateway may close an idle connection."""
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
        """Fail requests that were sent before a time and have no reply yet."""
        for connection in list(self._connections):
            connection.expire_request(sent_before)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.close()


class LoadGenerator:
    """The clients of one process, and its timer lag."""

    def __init__(self) -> None:
        self._targets: list[GatewayTarget] = []
        self._request_ids = itertools.count(1)
        self._lag = LagMeter()

    async def connect(self, gateways: list[list[int]], customers: dict[str, int]) -> None:
        """Name the gateways, each by its index and port, and the fields of the `CustomerPopulation`."""
        self._targets = [GatewayTarget(index, port) for index, port in gateways]
        self._customers = Customers(CustomerPopulation(**customers))

    async def run(self, rate: float, seconds: float) -> LoadSummary:
        """Send `rate` requests a second over all gateways, wait for the replies, and return the summary."""
        result = LoadResult()
        async for due in due_requests(rate=rate, seconds=seconds, interval_s=SEND_INTERVAL_S):
            for number in due:
                self._send(self._targets[number % len(self._targets)], result)
            self._expire_requests(time.monotonic() - REQUEST_TIMEOUT_S)
        await self._wait_for_replies(result)
        return result.summary()

    def _send(self, target: GatewayTarget, result: LoadResult) -> None:
        if not result.begin_request():
            return
        command = encode_command(*self._customers.request(target.index, next(self._request_ids)))
        target.send(LoadRequest(command, result))

    async def _wait_for_replies(self, result: LoadResult) -> None:
        """Wait until no request is in flight, and fail those that have no reply in time."""
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while result.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(SEND_INTERVAL_S)
        self._expire_requests(deadline)

    def _expire_requests(self, sent_before: float) -> None:
        for target in self._targets:
            target.expire_requests(sent_before)

    async def begin(self) -> None:
        """Measure timer lag from here on."""
        self._lag.begin()

    async def read(self) -> dict[str, LatencySummary]:
        """Return the timer lag of this process in all measured phases."""
        return {"lag": self._lag.read()}

    def close(self) -> None:
        """Abort all connections."""
        self._lag.close()
        for target in self._targets:
            target.close()
