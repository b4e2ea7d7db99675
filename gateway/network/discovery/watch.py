"""Watching the endpoint list: which calls to discovery are open, which is followed, when the next is due."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass
from enum import Enum
from functools import partial

import h11

from gateway.network.address import Address
from gateway.network.codecs.json_stream import JsonStreamError

from .backoff import Backoff
from .delivery import EndpointDelivery, EndpointListener
from .endpoint_list import EndpointListError
from .stream import DiscoveryError, DiscoveryOverloadedError, list_target, stream_objects

log = logging.getLogger(__name__)

# Each way in which a call can fail, and the calls after it, add up to less than NOTIFICATION_BOUND_S; the
# sums are in docs/endings.md.

HEDGE_AFTER_S = 2.5
"""Seconds after which another call is opened beside a polled one without an answer.

A call that is polled for may wait in discovery's queue; where it was lost, the one beside it is answered.
"""

MIN_REOPEN_DELAY_S = 0.1
"""First delay, in seconds, before a watch is reopened after its call failed."""

MAX_REOPEN_DELAY_S = 1.0
"""Longest such delay, in seconds."""

MAX_UNANSWERED_CALLS = 4
"""Most calls that are open beside each other without an answer; for a further one the oldest is cancelled."""


class CallOutcome(Enum):
    """How a call to discovery ended; the value is its wording in the log."""

    CLOSED = "closed by peer"
    SUPERSEDED = "superseded by another call"
    OVERLOADED = "rejected as overloaded"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CallEnd:
    """The end of a call to discovery, and the error that brought it, if any."""

    outcome: CallOutcome
    error: str = ""

    def __str__(self) -> str:
        """Word the end for the log."""
        return f"{self.outcome.value} ({self.error})" if self.error else self.outcome.value


@dataclass(eq=False, slots=True)
class WatchCall:
    """One call to discovery, from its connection to its end."""

    address: Address
    version: int | None  # the changes after it are requested; None requests a snapshot, which ends the call
    opened_at: float
    task: asyncio.Task[CallEnd] | None = None
    is_answered: bool = False

    def cancel(self) -> None:
        """Close the connection; a cancelled call is not logged."""
        if self.task is not None:
            self.task.cancel()


class EndpointWatcher:
    """Follows the endpoint list from a version on and delivers each update to a listener.

    With `is_polled`, each call is work that discovery has to do: the first calls of a fleet are spread, the
    backoff says when to call an overloaded discovery again, and another call is opened beside one only once
    that is likely lost (`HEDGE_AFTER_S`). Else an agent beside the gateway pushes the list, and answers at
    once and at no cost. What it holds counts as notified, so nothing waits for a missing answer alone: every
    `reopen_after_s` another call is opened beside it. The first call that is answered is followed.

    Attributes:
        address: where discovery is called.
        version: the last version that was delivered whole; None if the next call has to read a snapshot.
        snapshot_received: set once a snapshot has been delivered.
    """

    def __init__(  # noqa: PLR0913 - the last two are keyword-only and have defaults
        self,
        address: Address,
        initial_version: int | None,
        on_update: EndpointListener,
        backoff: Backoff,
        *,
        is_polled: bool = False,
        reopen_after_s: float = MIN_REOPEN_DELAY_S,
    ) -> None:
        self.address = address
        self.version = initial_version
        self.snapshot_received = asyncio.Event()
        self._delivery = EndpointDelivery(on_update)
        self._backoff = backoff
        self._is_polled = is_polled
        self._reopen_after_s = reopen_after_s
        self._followed_call: WatchCall | None = None
        self._unanswered_calls: list[WatchCall] = []  # the oldest first
        self._reopen_delay_s = MIN_REOPEN_DELAY_S  # after the last call that ended
        self._next_open_at = 0.0
        self._last_end: CallEnd | None = None
        self._state_changed = asyncio.Event()

    def move_to(self, address: Address) -> None:
        """Follow another address from now on; the old one is followed until the new one answers.

        Its versions need not be those of the old one, so a snapshot is read before its changes.
        """
        log.info("discovery moves from %s:%d to %s:%d; reading a snapshot there", *self.address, *address)
        self.address = address
        self.version = None
        cancelled_calls = self._unanswered_calls
        self._unanswered_calls = []
        for call in cancelled_calls:
            call.cancel()
        self._next_open_at = 0.0
        self._state_changed.set()

    async def run(self) -> None:
        """Keep a call open until cancelled, which closes all calls."""
        if self._is_polled and self.version is not None:
            self._next_open_at = asyncio.get_running_loop().time() + self._backoff.initial_delay()
        try:
            while True:
                self._state_changed.clear()
                wait_s = self._open_if_due()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self._state_changed.wait()
        finally:
            for call in self._open_calls():
                call.cancel()

    def _open_calls(self) -> list[WatchCall]:
        followed_calls = [] if self._followed_call is None else [self._followed_call]
        return self._unanswered_calls + followed_calls

    def _open_if_due(self) -> float | None:
        """Open a call if one is due; return the seconds until the next one, None if none is needed."""
        if self._followed_call is not None and self._followed_call.address == self.address:
            return None
        loop = asyncio.get_running_loop()
        if loop.time() >= self._next_open_at:
            self._open()
            self._next_open_at = loop.time() + (HEDGE_AFTER_S if self._is_polled else self._reopen_after_s)
        return self._next_open_at - loop.time()

    def _open(self) -> None:
        if len(self._unanswered_calls) >= MAX_UNANSWERED_CALLS:
            self._unanswered_calls.pop(0).cancel()
        loop = asyncio.get_running_loop()
        call = WatchCall(self.address, self.version, opened_at=loop.time())
        call.task = loop.create_task(self._run_call(call))
        call.task.add_done_callback(partial(self._on_call_done, call))
        self._unanswered_calls.append(call)

    async def _run_call(self, call: WatchCall) -> CallEnd:
        """Deliver what a call brings until it ends."""
        try:
            return await self._deliver_all(call)
        except DiscoveryOverloadedError as error:
            return CallEnd(CallOutcome.OVERLOADED, str(error))
        except (EndpointListError, JsonStreamError) as error:
            # What the message held is unknown, so a snapshot is read next.
            self.version = None
            return CallEnd(CallOutcome.FAILED, f"{type(error).__name__}: {error}")
        except (OSError, h11.ProtocolError, DiscoveryError) as error:  # OSError: time-outs too
            return CallEnd(CallOutcome.FAILED, f"{type(error).__name__}: {error}")
        except Exception:
            # Danger: without a watch the list goes stale and drains are missed: go on after any fault.
            log.exception("update from discovery at %s:%d not applied; reading a snapshot", *call.address)
            self.version = None
            return CallEnd(CallOutcome.FAILED)

    async def _deliver_all(self, call: WatchCall) -> CallEnd:
        objects = stream_objects(call.address, list_target(call.version), partial(self._follow, call))
        async with contextlib.aclosing(objects):
            async for text in objects:
                if call is not self._followed_call:
                    return CallEnd(CallOutcome.SUPERSEDED)
                update = await self._delivery.deliver(text)
                if call.address == self.address:
                    self.version = update.version
                    if update.is_snapshot:
                        self.snapshot_received.set()
        return CallEnd(CallOutcome.CLOSED)

    def _follow(self, call: WatchCall) -> None:
        """Follow this call from now on, as it has been answered, and cancel all others."""
        other_calls = [other for other in self._open_calls() if other is not call]
        call.is_answered = True
        self._followed_call = call
        self._unanswered_calls = []
        for other in other_calls:
            other.cancel()
        self._state_changed.set()

    def _on_call_done(self, call: WatchCall, task: asyncio.Task[CallEnd]) -> None:
        if call is self._followed_call:
            self._followed_call = None
        elif call in self._unanswered_calls:
            self._unanswered_calls.remove(call)
        if task.cancelled():
            return
        if call.address == self.address:
            self._schedule_reopening(call, task.result())
        self._state_changed.set()

    def _schedule_reopening(self, call: WatchCall, end: CallEnd) -> None:
        now = asyncio.get_running_loop().time()
        if call.is_answered:
            self._backoff.reset()
        self._reopen_delay_s = self._reopen_delay_after(call, end)
        if call.is_answered or end != self._last_end:  # one line for the same failure again and again
            log.info(
                "watch of %s:%d %s after %.1f s; reopening in %.1f s",
                *call.address,
                end,
                now - call.opened_at,
                self._reopen_delay_s,
            )
        self._last_end = end
        if not (self._is_polled and self._unanswered_calls):  # a later call still waits in discovery's queue
            self._next_open_at = now + self._reopen_delay_s

    def _reopen_delay_after(self, call: WatchCall, end: CallEnd) -> float:
        if end.outcome is CallOutcome.OVERLOADED:
            return self._backoff.next_delay()
        if call.version is None and self.version is not None:
            return 0.0  # the snapshot has been delivered, and its changes are next
        if not self._is_polled:
            return self._reopen_after_s
        if call.is_answered:
            return MIN_REOPEN_DELAY_S
        return min(MAX_REOPEN_DELAY_S, max(MIN_REOPEN_DELAY_S, 2 * self._reopen_delay_s))
