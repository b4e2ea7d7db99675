"""A connection to the counter service, over which calls are pipelined."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import cast

from gateway.network.timers import now_ms
from gateway.policy.events import Outcome

from .call import CounterCall
from .protocol import CounterResult, parse_response

INACTIVITY_TIMEOUT_MS = 300.0
"""Time, in milliseconds, without data after which a connection with unanswered calls is closed."""

MAX_IDLE_MS = 3_000.0
"""Idle time, in milliseconds, after which a connection is not reused: the counter may be closing it."""

MAX_UNANSWERED_CALLS = 1_000
"""Number of unanswered calls at which a connection is closed rather than used for further calls."""

MAX_LINE_BYTES = 64
"""Maximum size, in bytes, of an incomplete response line; a longer one closes the connection."""


class CloseReason(Enum):
    """The fault after which a connection was closed; the value is the text in the log."""

    UNRESPONSIVE = "no response in time"
    TOO_MANY_UNANSWERED = "too many unanswered calls"
    UNSOLICITED_RESPONSE = "response without a call"
    MALFORMED_RESPONSE = "malformed response"
    LINE_TOO_LONG = "response line too long"


class CounterConnection(asyncio.Protocol):
    """Pipelines calls: each response belongs to the oldest unanswered call, even if that has timed out."""

    def __init__(
        self,
        on_failed: Callable[[CloseReason], None],
        on_closed: Callable[[CounterConnection], None],
    ) -> None:
        """Create the protocol of a new connection.

        `on_failed` is called before the connection closes after a fault, `on_closed` once it is closed.
        """
        self.transport: asyncio.Transport | None = None
        self.unanswered_calls: deque[CounterCall] = deque()
        self.is_closed = False
        self.last_received_at = now_ms()
        self.last_written_at = self.last_received_at
        self._on_failed = on_failed
        self._on_closed = on_closed
        self._partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio once the connection is established."""
        # A cast, because uvloop's transports are not instances of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)

    def write(self, calls: list[CounterCall]) -> None:
        """Write the calls; their responses arrive in the same order."""
        assert self.transport is not None
        now = now_ms()
        if not self.unanswered_calls:
            self.last_received_at = now
        self.last_written_at = now
        self.unanswered_calls.extend(calls)
        self.transport.write(b"".join(call.request_line for call in calls))

    def close_if_unusable(self) -> None:
        """Close the connection if it is unresponsive, has too many unanswered calls or was idle too long."""
        now = now_ms()
        # A peer that becomes unreachable sends neither FIN nor RST; only the lack of responses shows it.
        if self.unanswered_calls and now - self.last_received_at > INACTIVITY_TIMEOUT_MS:
            self.fail(CloseReason.UNRESPONSIVE)
        elif len(self.unanswered_calls) >= MAX_UNANSWERED_CALLS:
            self.fail(CloseReason.TOO_MANY_UNANSWERED)
        elif not self.unanswered_calls and now - self.last_written_at > MAX_IDLE_MS:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Complete the calls whose responses have arrived."""
        self.last_received_at = now_ms()
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if self.is_closed:
                return
            if not self.unanswered_calls:
                self.fail(CloseReason.UNSOLICITED_RESPONSE)
                return
            result = parse_response(line)
            if result is None:
                # After a malformed line, responses can no longer be matched to calls.
                self.fail(CloseReason.MALFORMED_RESPONSE)
                return
            # A call that has timed out stays queued, so that the next call does not get its late response.
            self.unanswered_calls.popleft().complete(result)
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.fail(CloseReason.LINE_TOO_LONG)

    def fail(self, reason: CloseReason) -> None:
        """Report the fault and close the connection, which can no longer be used."""
        if self.is_closed:
            return
        self._on_failed(reason)
        self.close()

    def close(self) -> None:
        """Close the connection at once; its unanswered calls time out."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()
        self._time_out_unanswered_calls()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Time out the unanswered calls; called by asyncio once the connection is closed by either side."""
        self.is_closed = True
        self._on_closed(self)
        self._time_out_unanswered_calls()

    def _time_out_unanswered_calls(self) -> None:
        calls = self.unanswered_calls
        self.unanswered_calls = deque()
        for call in calls:
            call.complete(CounterResult(Outcome.TIMED_OUT))  # the amount may have been added
