"""The list of backends: reading it and watching it for changes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import logging
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import h11

from mintford.interface import BackendEntry, BackendState, ListScope

from .backoff import Backoff
from .config import Address, parse_address

log = logging.getLogger(__name__)

PATH = "/catalog/members"
# Each way in which a call can fail, and the calls after it, add up to less than TOLD_S (docs/endings.md).
SILENT_S = 2.75  # an empty line comes every 2 s
CONNECT_S = 1.0
UNHEARD_S = 2.5  # a call that is asked for may wait in a line; where it was lost, another beside it is heard
BACKOFF_S = (0.1, 1.0)  # the first wait before a new watch where the last one broke, and the longest
MOST_TRIES = 4  # watches opened beside each other for want of an answer
BUSY = (429, 503)  # turned away for what others ask
LONGEST_LINE = 16 * 1024 * 1024
MOST_LINES = 1_000_000  # of an indented object
STATES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


class DiscoveryError(Exception):
    """Discovery said what it should not."""


class DiscoveryBusy(DiscoveryError):
    """Discovery has too much to do; asking again soon is what keeps it so."""


@dataclass(frozen=True, slots=True)
class Member:
    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class MemberList:
    version: int
    whole: bool
    members: tuple[Member, ...]


Listener = Callable[[ListScope, tuple[Member, ...]], None]


def host_number(host: str) -> int:
    """A number for a host's name: the same at every gateway and after every start."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def read_member(raw: dict[str, Any]) -> Member:
    entry = BackendEntry(
        backend=host_number(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started=float(raw.get("born_ms") or 0),
        state=STATES[raw["health"]],
    )
    return Member(entry, parse_address(raw["dial"]))


def read_list(raw: Any) -> MemberList:
    try:
        members = tuple(read_member(host) for host in raw.get("hosts") or ())
        return MemberList(int(raw["seq"]), bool(raw.get("whole")), members)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


@dataclass(eq=False, slots=True)
class Watch:
    """One call to discovery, from its connection to its end."""

    address: Address
    whole: bool  # the whole list is asked for, and the call ends with it
    task: asyncio.Task[str] | None = None
    heard: bool = False  # an answer has begun
    refused: bool = False  # turned away as busy
    lines: list[bytes] = field(default_factory=list)  # of an object that is not whole yet
    depth: int = 0  # braces of it that are open

    def cancel(self) -> None:
        if self.task is not None:
            self.task.cancel()


class Discovery:
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
        listener: Listener,
        busy: Backoff,
        asked: bool = False,
        again: float = BACKOFF_S[0],
    ) -> None:
        self.address, self.version, self.listener = address, version, listener
        self.busy, self.asked, self.again = busy, asked, again
        self.read = asyncio.Event()  # a whole list has come
        self._follower: Watch | None = None  # the watch that is heard
        self._tries: list[Watch] = []  # those not heard yet, the oldest first
        self._wait, self._next_at = BACKOFF_S[0], 0.0  # after a watch has ended; for the next one
        self._reason = ""  # why the last watch ended
        self._changed = asyncio.Event()

    def move(self, address: Address) -> None:
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
        watch = Watch(self.address, whole=self.version is None)
        watch.task = asyncio.ensure_future(self._watch(watch, self._target()))
        watch.task.add_done_callback(partial(self._on_end, watch))
        self._tries.append(watch)

    def _on_heard(self, watch: Watch) -> None:
        """Follow this one from now on, and leave all others."""
        others = [w for w in (*self._tries, self._follower) if w is not None and w is not watch]
        watch.heard, self._follower, self._tries = True, watch, []
        for other in others:
            other.cancel()
        self._changed.set()

    def _on_end(self, watch: Watch, task: asyncio.Task[str]) -> None:
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

    async def _watch(self, watch: Watch, target: str) -> str:
        """Follow the list until the connection ends; gives the reason."""
        try:
            async with contextlib.aclosing(self._lines(watch, target)) as lines:
                async for line in lines:
                    if watch is not self._follower:
                        return "left"
                    self._join(watch, line)
            if watch.lines:
                raise self._unread("an object that was cut short")
            return "ended"
        except (OSError, h11.ProtocolError, DiscoveryError) as error:  # time-outs are among these
            watch.refused = isinstance(error, DiscoveryBusy)
            return f"failed: {type(error).__name__} {error}"
        except Exception:
            # Without a watch the list goes stale and drains are missed, so it goes on whatever came.
            log.exception("a change could not be taken")
            self.version = None
            return "failed"

    def _target(self) -> str:
        # With no version known, the whole list comes first.
        return PATH if self.version is None else f"{PATH}?stream=1&index={self.version}"

    def _join(self, watch: Watch, line: bytes) -> None:
        """Take each object once it is whole: it may come indented, over several lines."""
        # Danger: an object that was cut short would swallow all that come after it.
        if watch.lines and (not line.strip() or line.startswith(b'{"seq"')):
            raise self._unread("an object that was cut short")
        if line.strip():
            watch.lines.append(line)
            watch.depth += line.count(b"{") - line.count(b"}")
            if watch.depth <= 0:
                text, watch.lines, watch.depth = b"\n".join(watch.lines), [], 0
                self._take(watch, text)
            elif len(watch.lines) > MOST_LINES:
                raise self._unread("an endless object")

    def _unread(self, reason: str) -> DiscoveryError:
        """What this change held is not known: everything is read again."""
        self.version = None
        return DiscoveryError(reason)

    def _take(self, watch: Watch, text: bytes) -> None:
        try:
            got = read_list(json.loads(text))
        except (ValueError, RecursionError, DiscoveryError) as error:
            raise self._unread(str(error)) from error
        if got.whole or got.members:
            self.listener(ListScope.FULL if got.whole else ListScope.CHANGES, got.members)
        if watch.address == self.address:
            self.version = got.version
            if got.whole:
                self.read.set()

    async def _lines(self, watch: Watch, target: str) -> AsyncGenerator[bytes, None]:
        host, port = watch.address
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
            writer.write(http.send(h11.Request(method="GET", target=target, headers=headers)) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            rest = b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    # A machine that is cut off says nothing; only the missing lines show it.
                    async with asyncio.timeout(SILENT_S):
                        http.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    if event.status_code in BUSY:
                        raise DiscoveryBusy(f"status {event.status_code}")
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    self._on_heard(watch)
                elif isinstance(event, h11.Data):
                    *lines, rest = (rest + event.data).split(b"\n")
                    for line in lines:
                        yield line
                    if len(rest) > LONGEST_LINE:
                        raise DiscoveryError("an endless line")
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    if rest.strip():
                        yield rest
                    return
        finally:
            writer.close()
