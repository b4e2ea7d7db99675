"""Clients of a gateway, which keep to the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections import deque
from dataclasses import dataclass

from .record import Record
from .resp import Reply, ReplyReader, encode_command
from .servers import LOOPBACK

CUSTOMERS = 2**33


@dataclass(slots=True, eq=False)
class Request:
    """A request, when it was sent, and what came of it; times are monotonic seconds."""

    id: str
    patience_ms: int
    command: bytes
    key: str = ""
    sent_at: float = 0.0
    answered_at: float | None = None
    reply: Reply | None = None
    closed_at: float | None = None
    """When the gateway ended the connection without a whole answer."""
    is_sent_again: bool = False
    """Whether it was sent once more, on a new connection; its time counts from then."""

    @property
    def outcome(self) -> str:
        """Return "served", "refused", "failed", "closed" or "unanswered"."""
        if self.reply is None:
            return "unanswered" if self.closed_at is None else "closed"
        kind, text = self.reply
        if kind == "value":
            return "served"
        return "refused" if text.startswith(b"-BUSY") else "failed"


class RequestMaker:
    """Makes requests with new ids and, unless told otherwise, of customers who ask for the first time."""

    def __init__(self, seed: int = 1, gateways: int = 1) -> None:
        self.rng = random.Random(seed)
        self.gateways = gateways
        self._numbers = itertools.count(1)

    def make(
        self,
        request_class: str = "timetable-read",
        patience_ms: int = 2500,
        body: bytes = b"",
        customer: int | None = None,
    ) -> Request:
        """Return a request that has not been sent."""
        request_id = f"{next(self._numbers):08x}{self.rng.getrandbits(32):08x}"
        who = self.rng.randrange(CUSTOMERS) if customer is None else customer
        key = f"{self.rng.getrandbits(64):016x}" if request_class == "booking" else ""
        names = f"c={request_class},t=partner,d={patience_ms}"
        names += f",k={key}" if key else ""
        names += f",units=1,spread={self.gateways},first=0"
        verb = b"API.READ" if request_class == "timetable-read" else b"API.WRITE"
        arguments = [verb, b"%016x" % who, request_id.encode(), names.encode()]
        return Request(request_id, patience_ms, encode_command(*arguments, *([body] if body else [])), key)


class Client:
    """One connection to a gateway; answers come in the order of the requests."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.waiting: deque[Request] = deque()
        self.is_closed = False
        self.writer: asyncio.StreamWriter | None = None
        self._replies = ReplyReader()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no request waits on it."""
        return self.writer is not None and not self.is_closed and not self.waiting

    async def connect(self) -> None:
        """Connect, and read answers from now on."""
        reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        self._task = asyncio.ensure_future(self._read(reader))

    def send(self, request: Request) -> None:
        """Send a request."""
        assert self.writer is not None
        request.sent_at = time.monotonic()
        self.waiting.append(request)
        self.record.note(f"sent     {request.id}")
        self.writer.write(request.command)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                for reply in self._replies.feed(data):
                    self._on_reply(reply)
        self.is_closed = True
        for request in self.waiting:
            request.closed_at = time.monotonic()
            self.record.note(f"closed   {request.id}")

    def _on_reply(self, reply: Reply) -> None:
        if not self.waiting:
            self.record.note(f"reply without a request: {reply!r:.80}")
            return
        request = self.waiting.popleft()
        request.answered_at = time.monotonic()
        request.reply = reply
        self.record.note(f"answered {request.id} {request.outcome} {reply[1][:60]!r}")

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


class Front:
    """Usual clients: one request at a time on a connection, and a further connection if all are busy.

    A request whose connection ends without an answer is sent once more, on a new connection.
    """

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.clients: list[Client] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, request: Request) -> None:
        """Send a request; its outcome is kept in it."""
        task = asyncio.ensure_future(self._send(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, request: Request) -> None:
        request.sent_at = time.monotonic()
        self.clients = [client for client in self.clients if not client.is_closed]
        client = next((client for client in self.clients if client.is_idle), None) or await self._open()
        if client is None:
            request.closed_at = time.monotonic()
            return
        client.send(request)
        while request.outcome == "unanswered":
            await asyncio.sleep(0.01)
        if request.outcome == "closed" and not request.is_sent_again:
            request.is_sent_again = True
            again = await self._open()
            if again is not None:
                request.closed_at = None
                again.send(request)

    async def _open(self) -> Client | None:
        client = Client(self.record, self.port)
        try:
            await client.connect()
        except ConnectionError:
            return None
        self.clients.append(client)
        return client


def is_late_or_lost(request: Request, slack_s: float) -> bool:
    """Return whether a request got no final answer until `slack_s` after its time."""
    if request.answered_at is None:
        return True
    return request.answered_at - request.sent_at > request.patience_ms / 1000 + slack_s


async def wait_for(requests: list[Request], seconds: float) -> None:
    """Wait until all requests have ended, for `seconds` at most."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at and any(r.outcome == "unanswered" for r in requests):
        await asyncio.sleep(0.01)
