"""Client of the counter service, which keeps the totals that all gateways share."""

from __future__ import annotations

import asyncio
import logging
import math
import zlib
from collections import Counter, deque
from functools import partial

from gateway.network.address import Address
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.events import Outcome

from .call import CounterCall, ResponseCallback
from .channel import CounterChannel
from .connection import CloseReason
from .protocol import CounterResult, encode_increment

log = logging.getLogger(__name__)

CHANNEL_COUNT = 4
"""Number of connections to the counter; a late response delays only later ones on the same connection."""

FAILURE_LOG_INTERVAL_MS = 1_000.0
"""Interval, in milliseconds, at which connections closed after a fault are logged, in one line for all."""


class CounterClient:
    """Adds amounts to named totals.

    Each call gets exactly one response. Responses for the same name are reported in the order of the calls.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: TimerQueue,
        address: Address,
        call_timeout_ms: float,
        *,
        max_unreported_calls: float = math.inf,
    ) -> None:
        """Create a client.

        `call_timeout_ms` bounds the time of each call, and of each connection attempt. More than
        `max_unreported_calls` at once are not made, and get the response of an overloaded counter.
        """
        self.address = address
        self.channels = [
            CounterChannel(loop, address, call_timeout_ms, self._count_failure) for _ in range(CHANNEL_COUNT)
        ]
        self.unreported_calls: dict[str, deque[CounterCall]] = {}
        """Calls whose outcome has not been reported yet, by name, oldest first."""
        self.unreported_count = 0
        """Number of calls in `unreported_calls`, of all names together."""
        self._max_unreported_calls = max_unreported_calls
        self._timers = timers
        self._call_timeout_ms = call_timeout_ms
        self._failure_counts: Counter[CloseReason] = Counter()
        timers.call_at(now_ms() + FAILURE_LOG_INTERVAL_MS, self._log_failures)

    def move_to(self, address: Address) -> None:
        """Use another address from now on; pending responses from the old one are still read."""
        if address == self.address:
            return
        self.address = address
        for channel in self.channels:
            channel.move_to(address)

    def increment(self, name: str, amount: float, ttl_ms: float, on_response: ResponseCallback) -> None:
        """Add `amount` to the total of a name, which expires after `ttl_ms`; an amount of 0 reads the total.

        The outcome TIMED_OUT means that the amount may have been added; CONNECT_ERROR and QUEUE_FULL mean
        that it was not.
        """
        encoded_name = name.encode()
        line = encode_increment(encoded_name, amount, ttl_ms)
        call = CounterCall(name, line, on_response, self._report_completed_calls)
        self.unreported_calls.setdefault(name, deque()).append(call)
        self.unreported_count += 1
        if self.unreported_count > self._max_unreported_calls:
            call.complete(CounterResult(Outcome.QUEUE_FULL))
            return
        channel = self.channels[zlib.crc32(encoded_name) % len(self.channels)]
        channel.enqueue(call)
        timeout_at = now_ms() + self._call_timeout_ms
        call.set_timeout_timer(self._timers.call_at(timeout_at, partial(channel.time_out, call)))

    def close(self) -> None:
        """Close all connections; their unanswered calls time out."""
        for channel in self.channels:
            channel.close()
        for channel in self.channels:
            channel.close_draining_connections()

    def _report_completed_calls(self, name: str) -> None:
        """Report the outcomes of completed calls for a name, in the order of the calls.

        The policy matches responses to calls by name and order alone, but a call over a new connection, or to
        a new address, can complete before an older one. Its outcome is held back until the older call
        completes, at the latest when that call times out.
        """
        calls = self.unreported_calls[name]
        while calls and (result := calls[0].result) is not None:
            self.unreported_count -= 1
            calls.popleft().on_response(name, result.outcome, result.total)
        if not calls:
            self.unreported_calls.pop(name, None)

    def _count_failure(self, reason: CloseReason) -> None:
        self._failure_counts[reason] += 1

    def _log_failures(self) -> None:
        if self._failure_counts:
            reasons = ", ".join(f"{reason.value}: {count}" for reason, count in self._failure_counts.items())
            log.warning(
                "connections to the counter at %s closed (%s); their unanswered calls count as timed out",
                self.address,
                reasons,
            )
            self._failure_counts.clear()
        self._timers.call_at(now_ms() + FAILURE_LOG_INTERVAL_MS, self._log_failures)
