"""When the next call to discovery is due.

The delays of each way in which a call can fail, and of the calls after it, add up to less than
`NOTIFICATION_BOUND_S`; the sums are in docs/endings.md.
"""

from __future__ import annotations

from .backoff import Backoff
from .call import CallOutcome, CallResult, WatchCall

HEDGE_DELAY_S = 2.5
"""Seconds after which a hedged call is opened beside a polled one without an answer, which may be lost."""

MIN_REOPEN_DELAY_S = 0.1
"""First delay, in seconds, before a watch is reopened after its call failed."""

MAX_REOPEN_DELAY_S = 1.0
"""Longest delay, in seconds, before a watch is reopened after its call failed."""


class ReopenSchedule:
    """Schedules the calls to discovery; times are seconds on the event loop's clock.

    With `polls_discovery`, each call is work for discovery: the first calls of a fleet are spread, a call
    that was rejected as overloaded is repeated after a backoff, and a hedged call is opened only once the one
    before it is likely lost. Without it, calls go to an agent beside the gateway, which answers at once and
    at no cost, and are repeated every `retry_interval_s`.
    """

    def __init__(self, backoff: Backoff, *, polls_discovery: bool, retry_interval_s: float) -> None:
        self.next_call_at = 0.0
        """When the next call is due; in the past: at once."""
        self._backoff = backoff
        self._polls_discovery = polls_discovery
        self._retry_interval_s = retry_interval_s
        self._reopen_delay_s = MIN_REOPEN_DELAY_S  # after the last call that ended

    def delay_first_call(self, now: float) -> None:
        """Spread the first calls of a fleet of polling gateways that starts together."""
        if self._polls_discovery:
            self.next_call_at = now + self._backoff.initial_delay()

    def make_call_due(self) -> None:
        """Make the next call due: discovery has moved."""
        self.next_call_at = 0.0

    def on_call_opened(self, now: float) -> None:
        """Schedule the hedged call that is opened unless the call opened now is answered before."""
        self.next_call_at = now + (HEDGE_DELAY_S if self._polls_discovery else self._retry_interval_s)

    def on_call_ended(
        self,
        call: WatchCall,
        result: CallResult,
        now: float,
        *,
        snapshot_delivered: bool,
        has_unanswered_calls: bool,
    ) -> float:
        """Schedule the call after one that has ended, and return the delay, in seconds.

        Args:
            call: the call that has ended.
            result: how it ended.
            now: the time of its end.
            snapshot_delivered: whether the call requested a snapshot, and it was delivered.
            has_unanswered_calls: whether later calls are open. A polled one still waits in discovery's queue,
                and its own schedule holds.
        """
        if call.is_answered:
            self._backoff.reset()
        self._reopen_delay_s = self._delay_after(call, result, snapshot_delivered)
        if not (self._polls_discovery and has_unanswered_calls):
            self.next_call_at = now + self._reopen_delay_s
        return self._reopen_delay_s

    def _delay_after(self, call: WatchCall, result: CallResult, snapshot_delivered: bool) -> float:
        if result.outcome is CallOutcome.OVERLOADED:
            return self._backoff.next_delay()
        if snapshot_delivered:
            return 0.0  # its changes are watched next
        if not self._polls_discovery:
            return self._retry_interval_s
        if call.is_answered:
            return MIN_REOPEN_DELAY_S
        return min(MAX_REOPEN_DELAY_S, max(MIN_REOPEN_DELAY_S, 2 * self._reopen_delay_s))
