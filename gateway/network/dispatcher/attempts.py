"""Starts and cancels attempts of requests at backends, and reports how they end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.backends.pool import BackendPool
from gateway.network.codecs.resp import encode_bulk_string
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.actions import CancelAttempt, StartAttempt
from gateway.policy.events import AttemptEnded, Event, Outcome

from .requests import OpenRequest, RequestTable


@dataclass(eq=False, slots=True)
class StartedAttempt:
    """An attempt's request, number and start time, kept for the report of its end."""

    request: OpenRequest
    number: int
    started_at: float
    """In milliseconds, as returned by `now_ms`."""


class AttemptRunner:
    """Owns the attempts in flight, and reports the end of each to the policy exactly once."""

    def __init__(
        self,
        requests: RequestTable,
        backends: BackendPool,
        timers: TimerQueue,
        *,
        deliver: Callable[[Event], None],
        max_attempts: int,
    ) -> None:
        """`deliver` hands an event to the policy; `max_attempts` bounds the attempts of one request."""
        self._requests = requests
        self._backends = backends
        self._timers = timers
        self._deliver = deliver
        self._max_attempts = max_attempts
        self.in_flight: dict[tuple[str, int], BackendAttempt] = {}
        """Attempts by request id and attempt number, including those whose request has its reply."""

    def has_in_flight(self, request_id: str) -> bool:
        """Return whether an attempt of a request with this id has not ended.

        An attempt may still be in flight after its request's reply. The policy identifies it by the request's
        id, so no other request may use that id until the attempt has ended.
        """
        return any((request_id, number) in self.in_flight for number in range(self._max_attempts))

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, or report that it was not started.

        No attempt may start for a client that has disconnected, even if the disconnect has not been read from
        its socket yet.
        """
        request_id = action.request_id
        if open_request := self._requests.open.get(request_id):
            open_request.pending_reply.detect_disconnect()
        now = now_ms()
        request = self._requests.open.get(request_id)
        if request is None or request.attempts_started >= self._max_attempts:
            self._report_not_started(action, request)
            return
        number = request.take_attempt_number()
        attempt = BackendAttempt(
            backend_id=action.backend_id,
            encode_request=request.client_request.encode,
            deadline=request.deadline,
            on_end=partial(self._on_ended, StartedAttempt(request, number, now)),
            start_before=action.start_before,
            detect_client_disconnect=request.pending_reply.detect_disconnect,
        )
        self.in_flight[request_id, number] = attempt
        request.add_attempt(number, attempt)
        if 0 < action.timeout_ms < request.deadline - now:
            on_timeout = partial(self._backends.abandon, attempt, Outcome.TIMED_OUT)
            attempt.set_timeout_timer(self._timers.call_at(now + action.timeout_ms, on_timeout))
        self._backends.start(attempt)

    def _report_not_started(self, action: StartAttempt, open_request: OpenRequest | None) -> None:
        """Report an attempt that was not started, under the number by which the policy knows it."""
        number = 0
        if open_request is not None:
            number = open_request.attempts_started
        elif disconnected_request := self._requests.disconnected.get(action.request_id):
            number = disconnected_request.take_attempt_number()
        self._deliver(
            AttemptEnded(
                request_id=action.request_id,
                attempt_number=number,
                backend_id=action.backend_id,
                outcome=Outcome.NOT_STARTED,
                latency_ms=0.0,
                request_finished=open_request is None,
            )
        )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, if it is still in flight."""
        if attempt := self.in_flight.get((action.request_id, action.attempt_number)):
            self._backends.abandon(attempt, Outcome.CANCELLED)

    def abandon_all(self, request: OpenRequest, outcome: Outcome) -> None:
        """End all attempts of a request with `outcome`."""
        for attempt in list(request.attempts_in_flight.values()):
            self._backends.abandon(attempt, outcome)

    def _on_ended(
        self, started: StartedAttempt, attempt: BackendAttempt, outcome: Outcome, value: bytes
    ) -> None:
        request = started.request
        request_id = request.client_request.id
        del self.in_flight[request_id, started.number]
        request.remove_attempt(started.number)
        if outcome is Outcome.OK:
            self._requests.reply(request_id, encode_bulk_string(value))
        is_finished = not self._requests.is_open(request)
        if is_finished:
            request.cancel_deadline_timer()
        latency_ms = now_ms() - started.started_at
        # Positional arguments: each attempt creates this event, which took a third longer with keywords.
        self._deliver(
            AttemptEnded(request_id, started.number, attempt.backend_id, outcome, latency_ms, is_finished)
        )
