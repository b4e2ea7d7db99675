"""The list of backends: reading it and watching it for changes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
from collections import deque
from collections.abc import AsyncGenerator, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, NamedTuple, Protocol

import h11

from ..policy.events import Endpoint, EndpointState, UpdateKind
from .backoff import Backoff
from .configuration import Address, parse_address
from .json_stream import JsonObjectReader, JsonStreamError, iterate_array

log = logging.getLogger(__name__)

PATH = "/catalog/members"
# Each way in which a call can fail, and the calls after it, add up to less than TOLD_S (docs/endings.md).
SILENT_S = 2.75  # an empty line comes every 2 s
CONNECT_S = 1.0
UNHEARD_S = 2.5  # a call that is asked for may wait in a line; where it was lost, another beside it is heard
BACKOFF_S = (0.1, 1.0)  # the first wait before a new watch where the last one broke, and the longest
MOST_TRIES = 4  # watches opened beside each other for want of an answer
BUSY = (429, 503)  # turned away for what others ask
AT_ONCE = 64  # entries that are read and told before what else waits has its turn
A_MESSAGE, COPIED = 4, 4096  # entries' worth of work in a message itself; bytes whose copy is worth one
LARGEST = 2**63  # a cell's number is below it
STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}


class EndpointListError(Exception):
    """Discovery said what it should not."""


class DiscoveryOverloadedError(EndpointListError):
    """Discovery has too much to do; asking again soon is what keeps it so."""


class ListedEndpoint(NamedTuple):
    entry: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    version: int
    whole: bool
    members: tuple[ListedEndpoint, ...]


class EndpointListener(Protocol):
    def __call__(
        self,
        scope: UpdateKind,
        members: tuple[ListedEndpoint, ...],
        first: bool = True,
        last: bool = True,
        /,
    ) -> None:
        """Take changes, or one part of a whole list."""


def backend_id_of(host: str) -> int:
    """A number for a host's name: the same at every gateway and after every start."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def read_member(raw: dict[str, Any]) -> ListedEndpoint:
    cell = int(raw.get("block") or 0)
    if not -LARGEST <= cell < LARGEST:
        raise ValueError(f"no number of a cell: {cell}")
    entry = Endpoint(
        backend_id=backend_id_of(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=cell,
        started_at=float(raw.get("born_ms") or 0),
        state=STATES[raw["health"]],
    )
    return ListedEndpoint(entry, parse_address(raw["dial"]))


MALFORMED = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def parse_members(hosts: Iterable[Any]) -> tuple[ListedEndpoint, ...]:
    try:
        return tuple(read_member(host) for host in hosts)
    except MALFORMED as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from error


def read_version(raw: Any) -> int:
    try:
        return int(raw["seq"])
    except MALFORMED as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from error


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Raises EndpointListError for what is no list."""
    version = read_version(raw)
    return EndpointList(version, bool(raw.get("whole")), parse_members(raw.get("hosts") or ()))


@dataclass(eq=False, slots=True)
class WatchCall:
    """One call to discovery, from its connection to its end."""

    address: Address
    whole: bool  # the whole list is asked for, and the call ends with it
    task: asyncio.Task[str] | None = None
    heard: bool = False  # an answer has begun
    refused: bool = False  # turned away as busy

    def cancel(self) -> None:
        if self.task is not None:
            self.task.cancel()


class EndpointWatcher:
    """Follows the list from a version on and reports each change.

    `asked` tells whether each watch is a call that discovery has to serve: then the first ones of a fleet are
    spread, `busy` says when to ask again where discovery has no room, and another call is made beside one
    only once that is likely lost (`UNHEARD_S`). Else an agent beside the gateway pushes the list, answers at
    once and at no cost. What it holds counts as told, so an answer that does not come is not waited for
    alone: each `again` seconds another watch is opened beside it. The first that is heard is followed.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        listener: EndpointListener,
        busy: Backoff,
        asked: bool = False,
        again: float = BACKOFF_S[0],
    ) -> None:
        self.address, self.version, self.listener = address, version, listener
        self.busy, self.asked, self.again = busy, asked, again
        self.snapshot_received = asyncio.Event()  # a whole list has come
        self._follower: WatchCall | None = None  # the watch that is heard
        self._tries: list[WatchCall] = []  # those not heard yet, the oldest first
        self._wait, self._next_at = BACKOFF_S[0], 0.0  # after a watch has ended; for the next one
        self._reason = ""  # why the last watch ended
        self._told = 0  # entries, since what else waits had its turn
        self._changed = asyncio.Event()

    def move_to(self, address: Address) -> None:
        """Follow another address from now on; the old one is heard until the new one answers.

        Its versions need not be those of the old one, so the whole list is read before its changes.
        """
        log.info("watch moves to %s:%d", *address)
        self.address, self.version = address, None
        tries, self._tries = self._tries, []
        for watch in tries:
            watch.cancel()
        self._next_at = 0.0
        self._changed.set()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        if self.asked and self.version is not None:
            self._next_at = loop.time() + self.busy.start()
        try:
            while True:
                self._changed.clear()
                wait: float | None = None
                if self._follower is None or self._follower.address != self.address:
                    if loop.time() >= self._next_at:
                        self._open()
                        self._next_at = loop.time() + (UNHEARD_S if self.asked else self.again)
                    wait = self._next_at - loop.time()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self._changed.wait()
        finally:
            for watch in (*self._tries, *([self._follower] if self._follower else [])):
                watch.cancel()

    def _open(self) -> None:
        if len(self._tries) >= MOST_TRIES:
            self._tries.pop(0).cancel()
        watch = WatchCall(self.address, whole=self.version is None)
        watch.task = asyncio.ensure_future(self._watch(watch, self._target()))
        watch.task.add_done_callback(partial(self._on_end, watch))
        self._tries.append(watch)

    def _on_heard(self, watch: WatchCall) -> None:
        """Follow this one from now on, and leave all others."""
        others = [w for w in (*self._tries, self._follower) if w is not None and w is not watch]
        watch.heard, self._follower, self._tries = True, watch, []
        for other in others:
            other.cancel()
        self._changed.set()

    def _on_end(self, watch: WatchCall, task: asyncio.Task[str]) -> None:
        if watch is self._follower:
            self._follower = None
        elif watch in self._tries:
            self._tries.remove(watch)
        if task.cancelled():
            return
        reason = task.result()
        if watch.address != self.address:
            return self._changed.set()
        if watch.heard:
            self.busy.served()
        if watch.refused:
            self._wait = self.busy.next()
        elif watch.whole and self.version is not None:
            self._wait = 0.0  # the list has come, and its changes are next
        elif self.asked:
            self._wait = BACKOFF_S[0] if watch.heard else min(BACKOFF_S[1], max(BACKOFF_S[0], 2 * self._wait))
        else:
            self._wait = self.again
        if watch.heard or reason != self._reason:
            log.info("watch %s; again in %.1f s", reason, self._wait)
        self._reason = reason
        if not (self.asked and self._tries):  # else one that was made later waits in line
            self._next_at = asyncio.get_running_loop().time() + self._wait
        self._changed.set()

    async def _watch(self, watch: WatchCall, target: str) -> str:
        """Follow the list until the connection ends; gives the reason."""
        try:
            async with contextlib.aclosing(self._objects(watch, target)) as objects:
                async for text in objects:
                    if watch is not self._follower:
                        return "left"
                    await self._take(watch, text)
            return "ended"
        except (OSError, h11.ProtocolError, EndpointListError) as error:  # time-outs are among these
            watch.refused = isinstance(error, DiscoveryOverloadedError)
            return f"failed: {type(error).__name__} {error}"
        except Exception:
            # Without a watch the list goes stale and drains are missed, so it goes on whatever came.
            log.exception("a change could not be taken")
            self.version = None
            return "failed"

    def _target(self) -> str:
        # With no version known, the whole list comes first.
        return PATH if self.version is None else f"{PATH}?stream=1&index={self.version}"

    def _unread(self, reason: str) -> EndpointListError:
        """What this change held is not known: everything is read again."""
        self.version = None
        return EndpointListError(reason)

    def _read(self, read: Callable[..., list[bytes]], *data: bytes | bytearray) -> list[bytes]:
        try:
            return read(*data)
        except JsonStreamError as error:
            raise self._unread(str(error)) from error

    async def _take(self, watch: WatchCall, text: bytes) -> None:
        """Tell what an object holds, a few entries at a time; what scope it has may stand behind them."""
        fields: dict[str, Any] = {}
        parts: deque[tuple[ListedEndpoint, ...]] = deque()
        first = True
        await self._turn(A_MESSAGE + len(text) // COPIED)
        try:
            decoded = text.decode()
            await self._turn(len(text) // COPIED)
            for hosts in iterate_array(decoded, "hosts", AT_ONCE, fields):
                parts.append(parse_members(hosts))
                if len(parts) > 1 and "whole" in fields:
                    self._tell(fields, parts.popleft(), first, False)
                    first = False
                await self._turn(len(hosts))
            version = read_version(fields)
        except (ValueError, RecursionError, EndpointListError) as error:
            raise self._unread(str(error)) from error
        whole = bool(fields.get("whole"))
        if whole and not parts:
            parts.append(())
        while parts:
            self._tell(fields, parts.popleft(), first, not parts)
            first = False
            await self._turn(AT_ONCE if parts else 0)
        if watch.address == self.address:
            self.version = version
            if whole:
                self.snapshot_received.set()

    def _tell(
        self, fields: dict[str, Any], members: tuple[ListedEndpoint, ...], first: bool, last: bool
    ) -> None:
        self.listener(UpdateKind.SNAPSHOT if fields.get("whole") else UpdateKind.DELTA, members, first, last)

    async def _turn(self, entries: int) -> None:
        """Let what else waits have its turn, if so many more entries are enough for once."""
        self._told += entries
        if self._told >= AT_ONCE:
            self._told = 0
            await asyncio.sleep(0)

    async def _objects(self, watch: WatchCall, target: str) -> AsyncGenerator[bytes, None]:
        host, port = watch.address
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
            writer.write(http.send(h11.Request(method="GET", target=target, headers=headers)) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            objects = JsonObjectReader()
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    # A machine that is cut off says nothing; only the missing lines show it.
                    async with asyncio.timeout(SILENT_S):
                        http.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    if event.status_code in BUSY:
                        raise DiscoveryOverloadedError(f"status {event.status_code}")
                    if event.status_code != 200:
                        raise EndpointListError(f"status {event.status_code}")
                    self._on_heard(watch)
                elif isinstance(event, h11.Data):
                    for text in self._read(objects.feed, event.data):
                        yield text
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    for text in self._read(objects.end):
                        yield text
                    return
        finally:
            writer.close()
