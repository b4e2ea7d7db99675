"""Watch of the endpoint list: opens calls to discovery and delivers the updates of the active one."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from functools import partial

import h11

from gateway.network.address import Address
from gateway.network.codecs.json_stream import JsonStreamError

from .backoff import Backoff
from .call import CallOutcome, CallResult, WatchCall
from .delivery import DeliveredUpdate, EndpointDelivery, EndpointListener
from .endpoint_list import EndpointListError
from .reopening import MIN_REOPEN_DELAY_S, ReopenSchedule
from .stream import DiscoveryError, DiscoveryOverloadedError, list_target, stream_objects

log = logging.getLogger(__name__)

MAX_UNANSWERED_CALLS = 4
"""Maximum number of unanswered calls open at the same time; opening another one cancels the oldest."""


class EndpointWatcher:
    """Watches the endpoint list from a version on and delivers each update to a listener.

    With `polls_discovery`, the gateway calls discovery itself; otherwise a local agent pushes the list. The
    gateway is expected to know a drain as soon as the agent has received it, so another call is opened every
    `retry_interval_s` until the agent answers one. The first call that is answered becomes the active one,
    and the others are cancelled. `ReopenSchedule` determines when calls are opened.

    Attributes:
        address: the address of discovery.
        version: the last version that was delivered completely; None if a snapshot has to be read next.
        snapshot_received: set once a snapshot has been delivered.
    """

    def __init__(  # noqa: PLR0913 - the last two are keyword-only and have defaults
        self,
        address: Address,
        initial_version: int | None,
        on_update: EndpointListener,
        backoff: Backoff,
        *,
        polls_discovery: bool = False,
        retry_interval_s: float = MIN_REOPEN_DELAY_S,
    ) -> None:
        self.address = address
        self.version = initial_version
        self.snapshot_received = asyncio.Event()
        self._delivery = EndpointDelivery(on_update)
        self._schedule = ReopenSchedule(
            backoff, polls_discovery=polls_discovery, retry_interval_s=retry_interval_s
        )
        self._active_call: WatchCall | None = None
        self._unanswered_calls: list[WatchCall] = []  # oldest first
        self._last_result: CallResult | None = None
        self._state_changed = asyncio.Event()

    def move_to(self, address: Address) -> None:
        """Watch at another address from now on; the old watch stays active until the new address answers.

        Versions at the new address may differ from those at the old one, so a snapshot is read first.
        """
        log.info("discovery watch moves from %s to %s; reading a snapshot there", self.address, address)
        self.address = address
        self.version = None
        cancelled_calls = self._unanswered_calls
        self._unanswered_calls = []
        for call in cancelled_calls:
            call.cancel()
        self._schedule.make_call_due()
        self._state_changed.set()

    async def run(self) -> None:
        """Keep a call to discovery open until this task is cancelled, which closes all calls."""
        if self.version is not None:
            self._schedule.delay_first_call(asyncio.get_running_loop().time())
        try:
            while True:
                self._state_changed.clear()
                wait_s = self._open_call_if_due()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self._state_changed.wait()
        finally:
            for call in self._all_calls():
                call.cancel()

    # ---- opening calls ----

    def _all_calls(self) -> list[WatchCall]:
        active_calls = [] if self._active_call is None else [self._active_call]
        return self._unanswered_calls + active_calls

    def _open_call_if_due(self) -> float | None:
        """Open a call if one is due. Return the seconds until the next one, or None if none is needed."""
        if self._active_call is not None and self._active_call.address == self.address:
            return None
        loop = asyncio.get_running_loop()
        if loop.time() >= self._schedule.next_call_at:
            self._open_call(loop.time())
            self._schedule.on_call_opened(loop.time())
        return self._schedule.next_call_at - loop.time()

    def _open_call(self, now: float) -> None:
        if len(self._unanswered_calls) >= MAX_UNANSWERED_CALLS:
            self._unanswered_calls.pop(0).cancel()
        call = WatchCall(self.address, self.version, opened_at=now)
        call.start(self._run_call(call), self._on_call_done)
        self._unanswered_calls.append(call)

    # ---- running a call ----

    async def _run_call(self, call: WatchCall) -> CallResult:
        """Deliver the updates of a call until it ends, and return its result."""
        try:
            return await self._deliver_all(call)
        except DiscoveryOverloadedError as error:
            return CallResult.from_error(CallOutcome.OVERLOADED, error)
        except (EndpointListError, JsonStreamError) as error:
            # The changes in a malformed message are lost, so a snapshot is read next.
            self.version = None
            return CallResult.from_error(CallOutcome.FAILED, error)
        except (OSError, h11.ProtocolError, DiscoveryError) as error:  # OSError includes TimeoutError
            return CallResult.from_error(CallOutcome.FAILED, error)
        except Exception:
            # Without a watch, the list goes stale and drains are missed, so the watch survives any error.
            log.exception("update from discovery at %s not applied; reading a snapshot", call.address)
            self.version = None
            return CallResult(CallOutcome.FAILED)

    async def _deliver_all(self, call: WatchCall) -> CallResult:
        objects = stream_objects(call.address, list_target(call.version), partial(self._activate, call))
        async with contextlib.aclosing(objects):
            async for text in objects:
                if call is not self._active_call:
                    return CallResult(CallOutcome.SUPERSEDED)
                update = await self._delivery.deliver(text)
                self._on_delivered(call, update)
        return CallResult(CallOutcome.CLOSED)

    def _on_delivered(self, call: WatchCall, update: DeliveredUpdate) -> None:
        if call.address != self.address:
            return  # versions of the old address are meaningless at the new one
        self.version = update.version
        if update.is_snapshot:
            self.snapshot_received.set()

    def _activate(self, call: WatchCall) -> None:
        """Make a call that has been answered the active one, and cancel all others."""
        other_calls = [other for other in self._all_calls() if other is not call]
        call.mark_answered()
        self._active_call = call
        self._unanswered_calls = []
        for other in other_calls:
            other.cancel()
        self._state_changed.set()

    # ---- after a call ----

    def _on_call_done(self, call: WatchCall, task: asyncio.Task[CallResult]) -> None:
        if call is self._active_call:
            self._active_call = None
        elif call in self._unanswered_calls:
            self._unanswered_calls.remove(call)
        if task.cancelled():
            return
        if call.address == self.address:
            self._schedule_next_call(call, task.result())
        self._state_changed.set()

    def _schedule_next_call(self, call: WatchCall, result: CallResult) -> None:
        now = asyncio.get_running_loop().time()
        delay_s = self._schedule.on_call_ended(
            call,
            result,
            now,
            snapshot_delivered=call.version is None and self.version is not None,
            has_unanswered_calls=bool(self._unanswered_calls),
        )
        is_repeated = result == self._last_result and not call.is_answered
        self._last_result = result
        if is_repeated:
            return  # a failure that repeats is logged only once
        log.info(
            "discovery watch at %s %s after %.1f s; reopening in %.1f s",
            call.address,
            result,
            now - call.opened_at,
            delay_s,
        )
