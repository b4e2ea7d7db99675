"""When the next call to discovery is due.

The delays of each way in which a call can fail, and of the calls after it, add up to less than
`NOTIFICATION_BOUND_S`; the sums are in docs/endings.md.
"""

from __future__ import annotations

from .backoff import Backoff
from .call import CallEnd, CallOutcome, WatchCall

HEDGE_AFTER_S = 2.5
"""Seconds after which a hedged call is opened beside a polled one without an answer, which may be lost."""

MIN_REOPEN_DELAY_S = 0.1
"""First delay, in seconds, before a watch is reopened after its call failed."""

MAX_REOPEN_DELAY_S = 1.0
"""Longest delay, in seconds, before a watch is reopened after its call failed."""


class ReopenSchedule:
    """Schedules the calls to discovery; times are seconds on the event loop's clock.

    With `is_polled`, each call is work for discovery: the first calls of a fleet are spread, a call that was
    rejected as overloaded is repeated after a backoff, and a hedged call is opened only once the one before
    it is likely lost. Without it, calls go to an agent beside the gateway, which answers at once and at no
    cost, and are repeated every `reopen_after_s`.
    """

    def __init__(self, backoff: Backoff, *, is_polled: bool, reopen_after_s: float) -> None:
        self.next_open_at = 0.0
        """When the next call is due; in the past: at once."""
        self._backoff = backoff
        self._is_polled = is_polled
        self._reopen_after_s = reopen_after_s
        self._reopen_delay_s = MIN_REOPEN_DELAY_S  # after the last call that ended

    def delay_first_call(self, now: float) -> None:
        """Spread the first calls of a fleet of polling gateways that starts together."""
        if self._is_polled:
            self.next_open_at = now + self._backoff.initial_delay()

    def open_at_once(self) -> None:
        """Make the next call due: discovery has moved."""
        self.next_open_at = 0.0

    def on_opened(self, now: float) -> None:
        """Schedule the hedged call that is opened unless the call opened now is answered before."""
        self.next_open_at = now + (HEDGE_AFTER_S if self._is_polled else self._reopen_after_s)

    def on_ended(
        self,
        call: WatchCall,
        end: CallEnd,
        now: float,
        *,
        snapshot_delivered: bool,
        has_unanswered_calls: bool,
    ) -> float:
        """Schedule the call after one that has ended, and return the delay, in seconds.

        Args:
            call: the call that has ended.
            end: how it ended.
            now: the time of its end.
            snapshot_delivered: whether the call requested a snapshot, and it was delivered.
            has_unanswered_calls: whether later calls are open. A polled one still waits in discovery's queue,
                and its own schedule holds.
        """
        if call.is_answered:
            self._backoff.reset()
        self._reopen_delay_s = self._delay_after(call, end, snapshot_delivered)
        if not (self._is_polled and has_unanswered_calls):
            self.next_open_at = now + self._reopen_delay_s
        return self._reopen_delay_s

    def _delay_after(self, call: WatchCall, end: CallEnd, snapshot_delivered: bool) -> float:
        if end.outcome is CallOutcome.OVERLOADED:
            return self._backoff.next_delay()
        if snapshot_delivered:
            return 0.0  # its changes are watched next
        if not self._is_polled:
            return self._reopen_after_s
        if call.is_answered:
            return MIN_REOPEN_DELAY_S
        return min(MAX_REOPEN_DELAY_S, max(MIN_REOPEN_DELAY_S, 2 * self._reopen_delay_s))
