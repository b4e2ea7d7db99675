"""Schedule of the calls to discovery.

For each way in which a call can fail, the delays of that call and of the calls after it add up to less than
`NOTIFICATION_BOUND_S`; the sums are in docs/endings.md.
"""

from __future__ import annotations

from .backoff import Backoff
from .call import CallOutcome, CallResult, WatchCall

HEDGE_DELAY_S = 2.5
"""Time, in seconds, after which an unanswered polled call may be lost and a hedged call is opened."""

MIN_REOPEN_DELAY_S = 0.1
"""Minimum delay, in seconds, before a watch is reopened after a failed call."""

MAX_REOPEN_DELAY_S = 1.0
"""Maximum delay, in seconds, before a watch is reopened after a failed call."""


class ReopenSchedule:
    """Schedules the calls to discovery; times are in seconds on the event loop's clock.

    With `polls_discovery`, each call costs discovery work: the first calls of a fleet are spread, a call that
    was rejected as overloaded is retried after a backoff, and a hedged call is opened only once the call
    before it is probably lost. Otherwise, a local agent answers calls at once and at no cost, so they are
    repeated every `retry_interval_s` until one is answered.
    """

    def __init__(self, backoff: Backoff, *, polls_discovery: bool, retry_interval_s: float) -> None:
        self.next_call_at = 0.0
        """Time at which the next call is due; a time in the past means at once."""
        self._backoff = backoff
        self._polls_discovery = polls_discovery
        self._retry_interval_s = retry_interval_s
        self._reopen_delay_s = MIN_REOPEN_DELAY_S  # delay after the last call that ended

    def delay_first_call(self, now: float) -> None:
        """Delay the first call of a polling gateway, to spread the calls of a fleet that starts together."""
        if self._polls_discovery:
            self.next_call_at = now + self._backoff.initial_delay()

    def make_call_due(self) -> None:
        """Make the next call due at once, as the address of discovery has changed."""
        self.next_call_at = 0.0

    def on_call_opened(self, now: float) -> None:
        """Schedule a hedged call, which is opened unless the call just opened is answered first."""
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
            call: the call that ended.
            result: how it ended.
            now: the time at which it ended.
            snapshot_delivered: whether the call requested a snapshot and delivered it.
            has_unanswered_calls: whether other calls are open and unanswered. With polling, these wait in
                discovery's queue, so the next call stays due at the time set when the last one was opened.
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
            return 0.0  # watch the changes after the snapshot at once
        if not self._polls_discovery:
            return self._retry_interval_s
        if call.is_answered:
            return MIN_REOPEN_DELAY_S
        return min(MAX_REOPEN_DELAY_S, max(MIN_REOPEN_DELAY_S, 2 * self._reopen_delay_s))
