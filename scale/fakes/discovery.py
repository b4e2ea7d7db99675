"""A fake discovery service: gives the endpoint list and pushes its changes to watches."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from functools import partial
from typing import TypedDict

from .endpoint_list import Change, SyntheticEndpointList
from .service import FakeService, ServiceConnection

LIST_PATH = b"/catalog/members"
"""Path of the list, and with `stream=1` of a watch."""

HEARTBEAT_INTERVAL_S = 2.0
"""Between the empty lines that show that a watch lives."""

HEARTBEAT = b"1\r\n\n\r\n"
"""An empty line as a chunk."""

MAX_KEPT_CHANGES = 20_000
"""Changes that a new watch may get one by one; where it misses older ones it gets a snapshot."""

MAX_HEAD_BYTES = 64 * 1024
"""Longest head of a request, in bytes."""


class Announcement(TypedDict):
    """When changes were sent, in seconds of the monotonic clock, and the backends they change."""

    at: float
    hosts: list[str]


class DiscoveryConnection(ServiceConnection):
    """A connection to discovery: one call for the list, or one watch."""

    def __init__(self, discovery: FakeDiscovery) -> None:
        super().__init__(discovery)
        self._discovery = discovery
        self._unread = b""

    def process_input(self, data: bytes) -> None:
        """Answer the request once its head is complete."""
        self._unread += data
        if b"\r\n\r\n" in self._unread:
            target = self._unread.split(b" ", 2)[1]
            self._unread = b""
            self._discovery.on_request(self, target)
        elif len(self._unread) > MAX_HEAD_BYTES and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, if it is one."""
        self._discovery.watches.pop(self, None)
        super().connection_lost(exc)


class FakeDiscovery(FakeService):
    """Serves a synthetic endpoint list."""

    def __init__(self, endpoints: SyntheticEndpointList) -> None:
        super().__init__()
        self.endpoints = endpoints
        self.watches: dict[DiscoveryConnection, None] = {}  # in the order of their coming
        self._announced: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._prepared: dict[int, list[Change]] = {}
        self._batch_ids = itertools.count()
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def on_request(self, connection: DiscoveryConnection, target: bytes) -> None:
        """Answer a call for the list, or open a watch."""
        path, _, query = target.partition(b"?")
        parameters = dict(item.partition(b"=")[::2] for item in query.split(b"&"))
        if path != LIST_PATH:
            connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif parameters.get(b"stream") == b"1":
            self._open_watch(connection, known_version=int(parameters.get(b"index") or b"0"))
        else:
            body = self.endpoints.snapshot()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            connection.write(head % len(body))
            connection.write(body)

    def _open_watch(self, connection: DiscoveryConnection, known_version: int) -> None:
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in self._lines_since(known_version):
            connection.write(encode_chunk(line))
        self.watches[connection] = None

    def _lines_since(self, version: int) -> list[bytes]:
        announced_version = self._announced[-1].version if self._announced else 1
        if version == announced_version:
            return []
        lines = [change.line for change in self._announced if change.version > version]
        if lines and self._announced[0].version <= version + 1 <= announced_version:
            return lines
        return [self.endpoints.snapshot()]

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                watch.write(HEARTBEAT)

    def prepare(self, counts: list[int], *, marked: bool = False) -> int:
        """Make one watch event for each count, of so many changes, and one that marks the end if `marked`.

        Returns the number to give to `announce`.
        """
        batch_id = next(self._batch_ids)
        changes = [self.endpoints.change(count) for count in counts]
        if marked:
            changes.append(self.endpoints.change_marker())
        self._prepared[batch_id] = changes
        return batch_id

    def announce(self, batch_id: int) -> Announcement:
        """Send what was prepared to all watches, at once."""
        changes = self._prepared.pop(batch_id)
        chunks = b"".join(encode_chunk(change.line) for change in changes)
        self._announced.extend(changes)
        announced_at = time.monotonic()
        for watch in list(self.watches):
            watch.write(chunks)
        return {"at": announced_at, "hosts": [host for change in changes for host in change.hosts]}

    async def announce_evenly(self, rate: float, seconds: float) -> list[Announcement]:
        """Announce `rate` changes a second, each in a watch event of its own, for so many seconds."""
        started_at = time.monotonic()
        announcements = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            announcements.append(self.announce(self.prepare([1])))
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        return announcements

    def close(self) -> None:
        """End the heartbeats and all connections."""
        self._heartbeat_task.cancel()
        super().close()


def encode_chunk(line: bytes) -> bytes:
    """Return a line as a chunk of HTTP's chunked coding."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


async def start_discovery(backends: int, ports: list[int], seed: int) -> tuple[FakeDiscovery, int]:
    """Start discovery with a list of so many backends; return it and its port."""
    discovery = FakeDiscovery(SyntheticEndpointList(backends, ports, seed))
    discovery.endpoints.snapshot()
    (port,) = await discovery.listen(partial(DiscoveryConnection, discovery))
    return discovery, port
