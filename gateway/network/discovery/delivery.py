"""Delivery of watch messages to a listener in parts, with other tasks running between them.

Parsing and applying a long list takes most of a second. In one piece, this would block the event loop and
delay all requests, so endpoints are parsed and delivered in batches, and the event loop runs between them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple, Protocol

from gateway.policy.events import UpdateKind

from .endpoint_list import EndpointListMessage, ListedEndpoint

ENDPOINTS_PER_TURN = 64
"""Budget of work per iteration of the event loop, in endpoints parsed and delivered."""

MESSAGE_COST = 4
"""Cost of a message in addition to its endpoints; the unit is the cost of one endpoint."""

BYTES_PER_ENDPOINT_COST = 4096
"""Number of bytes whose copying costs as much as one endpoint."""


class EndpointListener(Protocol):
    """Receives the updates of the endpoint list in parts."""

    def __call__(
        self, kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool, /
    ) -> None:
        """Apply a part of an update; `is_first` and `is_last` mark the first and the last part."""


class DeliveredUpdate(NamedTuple):
    """Version and kind of an update that was delivered completely."""

    version: int
    is_snapshot: bool


class EndpointDelivery:
    """Parses messages and delivers them in parts; all messages share one budget of work."""

    def __init__(self, on_update: EndpointListener) -> None:
        self._on_update = on_update
        self._cost_this_turn = 0  # work since other tasks last ran, in endpoints

    async def deliver(self, text: bytes) -> DeliveredUpdate:
        """Parse a message and deliver it.

        Raises EndpointListError if the message is malformed. Some of its parts may have been delivered by
        then, but never the last one.
        """
        copy_cost = len(text) // BYTES_PER_ENDPOINT_COST
        await self._charge(MESSAGE_COST + copy_cost)
        message = EndpointListMessage(text)
        await self._charge(copy_cost)
        parts = _UpdateParts(message, self._on_update)
        for endpoints in message.batches(ENDPOINTS_PER_TURN):
            parts.add(endpoints)
            await self._charge(len(endpoints))
        version = message.version
        parts.add_empty_snapshot()
        while parts.pending:
            parts.deliver_next(is_last=len(parts.pending) == 1)
            await self._charge(ENDPOINTS_PER_TURN if parts.pending else 0)
        return DeliveredUpdate(version, message.is_snapshot)

    async def _charge(self, cost: int) -> None:
        """Add `cost`, in endpoints, to the work since other tasks last ran; at the limit, let them run."""
        self._cost_this_turn += cost
        if self._cost_this_turn >= ENDPOINTS_PER_TURN:
            self._cost_this_turn = 0
            await asyncio.sleep(0)


class _UpdateParts:
    """The parts of one update that have been parsed but not delivered yet.

    Discovery may send the kind of an update after all endpoints, so parts are held back until it is known.
    The latest part is held back until another one follows or the message ends, as the last part is marked.
    """

    __slots__ = ("_has_begun", "_message", "_on_update", "pending")

    def __init__(self, message: EndpointListMessage, on_update: EndpointListener) -> None:
        self._message = message
        self._on_update = on_update
        self._has_begun = False
        self.pending: deque[tuple[ListedEndpoint, ...]] = deque()

    def add(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        """Append a part, and deliver the one before it if the kind of the update is known."""
        self.pending.append(endpoints)
        if len(self.pending) > 1 and self._message.is_kind_known:
            self.deliver_next(is_last=False)

    def add_empty_snapshot(self) -> None:
        """Append an empty part for a snapshot without endpoints, which has to empty the list."""
        if self._message.is_snapshot and not self.pending:
            self.pending.append(())

    def deliver_next(self, *, is_last: bool) -> None:
        """Deliver the oldest pending part."""
        kind = UpdateKind.SNAPSHOT if self._message.is_snapshot else UpdateKind.DELTA
        is_first = not self._has_begun
        self._has_begun = True
        self._on_update(kind, self.pending.popleft(), is_first, is_last)
