"""A fake discovery service, which serves the endpoint list and sends its changes to watches."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from functools import partial

from scale.figures import Announcement

from .endpoint_list import SyntheticEndpointList, WatchEvent
from .service import FakeService, ServiceConnection

LIST_PATH = b"/catalog/members"
"""Path of the endpoint list; with the parameter `stream=1` it opens a watch."""

HEARTBEAT_INTERVAL_S = 2.0
"""Seconds between two heartbeats, the empty lines that show that a watch is alive."""

HEARTBEAT = b"1\r\n\n\r\n"
"""An empty line in HTTP's chunked transfer coding."""

EVENT_HISTORY_LENGTH = 20_000
"""Number of watch events kept for new watches; a watch that has missed more gets a snapshot."""

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the head of an HTTP request, in bytes."""


class DiscoveryConnection(ServiceConnection):
    """A connection to discovery, which reads the list or opens a watch."""

    def __init__(self, discovery: FakeDiscovery) -> None:
        super().__init__(discovery)
        self._discovery = discovery
        self._buffer = b""

    def process_input(self, data: bytes) -> None:
        """Respond to the request once its head is complete."""
        self._buffer += data
        if b"\r\n\r\n" in self._buffer:
            target = self._buffer.split(b" ", 2)[1]
            self._buffer = b""
            self._discovery.on_request(self, target)
        elif len(self._buffer) > MAX_HEAD_BYTES and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the watch, if the connection has one."""
        self._discovery.close_watch(self)
        super().connection_lost(exc)


class FakeDiscovery(FakeService):
    """Serves a synthetic endpoint list, and announces its changes to watches."""

    def __init__(self, endpoints: SyntheticEndpointList) -> None:
        super().__init__()
        self.endpoints = endpoints
        self.watches: dict[DiscoveryConnection, None] = {}  # in the order of opening
        self._announced: deque[WatchEvent] = deque(maxlen=EVENT_HISTORY_LENGTH)
        self._prepared: dict[int, list[WatchEvent]] = {}
        self._batch_ids = itertools.count()
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def on_request(self, connection: DiscoveryConnection, target: bytes) -> None:
        """Respond with the list, or open a watch."""
        path, _, query = target.partition(b"?")
        parameters = parse_query(query)
        if path != LIST_PATH:
            connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif parameters.get(b"stream") == b"1":
            self._open_watch(connection, known_version=int(parameters.get(b"index") or b"0"))
        else:
            self._send_list(connection)

    def _send_list(self, connection: DiscoveryConnection) -> None:
        body = self.endpoints.snapshot()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        connection.write(head % len(body))
        connection.write(body)

    def close_watch(self, connection: DiscoveryConnection) -> None:
        """Remove the watch of a connection, if it has one."""
        self.watches.pop(connection, None)

    def _open_watch(self, connection: DiscoveryConnection, known_version: int) -> None:
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in self._lines_since(known_version):
            connection.write(encode_chunk(line))
        self.watches[connection] = None

    def _lines_since(self, version: int) -> list[bytes]:
        announced_version = self._announced[-1].version if self._announced else 1
        if version == announced_version:
            return []
        lines = [event.line for event in self._announced if event.version > version]
        if lines and self._announced[0].version <= version + 1 <= announced_version:
            return lines
        return [self.endpoints.snapshot()]

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                watch.write(HEARTBEAT)

    def prepare(self, counts: list[int], *, with_marker: bool = False) -> int:
        """Create a batch of watch events with these numbers of changes; return its id for `announce`.

        `with_marker` adds a last event, which changes the marker: a backend that no other event changes.
        """
        batch_id = next(self._batch_ids)
        events = [self.endpoints.change(count) for count in counts]
        if with_marker:
            events.append(self.endpoints.change_marker())
        self._prepared[batch_id] = events
        return batch_id

    def announce(self, batch_id: int) -> Announcement:
        """Send a prepared batch to all watches, in one write to each."""
        events = self._prepared.pop(batch_id)
        chunks = b"".join(encode_chunk(event.line) for event in events)
        self._announced.extend(events)
        announced_at = time.monotonic()
        for watch in list(self.watches):
            watch.write(chunks)
        return {"at": announced_at, "hosts": [host for event in events for host in event.hosts]}

    async def announce_evenly(self, rate: float, seconds: float) -> list[Announcement]:
        """Announce `rate` changes a second for `seconds` seconds, each in its own watch event."""
        started_at = time.monotonic()
        announcements = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            announcements.append(self.announce(self.prepare([1])))
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        return announcements

    def close(self) -> None:
        """Stop the heartbeats, stop listening and abort all connections."""
        self._heartbeat_task.cancel()
        super().close()


def parse_query(query: bytes) -> dict[bytes, bytes]:
    """Return the parameters of a query string."""
    parameters = {}
    for item in query.split(b"&"):
        name, _, value = item.partition(b"=")
        parameters[name] = value
    return parameters


def encode_chunk(line: bytes) -> bytes:
    """Return a line and a newline as one chunk of HTTP's chunked transfer coding."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


async def start_discovery(backends: int, ports: list[int], seed: int) -> tuple[FakeDiscovery, int]:
    """Start a fake discovery with a list of `backends` backends; return it and its port."""
    discovery = FakeDiscovery(SyntheticEndpointList(backends, ports, seed))
    discovery.endpoints.snapshot()
    (port,) = await discovery.listen(partial(DiscoveryConnection, discovery))
    return discovery, port
