"""Requests from their arrival until they have ended, and the table of the open ones."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.clients.pending_reply import PendingReply
from gateway.network.clients.request_parser import ClientRequest
from gateway.network.timers import Timer, TimerQueue


class OpenRequest:
    """A request from its arrival until its reply is written and the last of its attempts has ended.

    Times are in milliseconds, as returned by `now_ms`.
    """

    __slots__ = (
        "_deadline_timer",
        "attempts_in_flight",
        "attempts_started",
        "client_request",
        "deadline",
        "pending_reply",
    )

    def __init__(self, client_request: ClientRequest, pending_reply: PendingReply, deadline: float) -> None:
        self.client_request = client_request
        self.pending_reply = pending_reply
        self.deadline = deadline
        self.attempts_started = 0
        self.attempts_in_flight: dict[int, BackendAttempt] = {}
        """Attempts that have not ended, by attempt number."""
        self._deadline_timer: Timer | None = None

    def take_attempt_number(self) -> int:
        """Count an attempt and return its number; the policy and the dispatcher both count from 0."""
        number = self.attempts_started
        self.attempts_started += 1
        return number

    def add_attempt(self, number: int, attempt: BackendAttempt) -> None:
        """Add an attempt that is in flight."""
        self.attempts_in_flight[number] = attempt

    def remove_attempt(self, number: int) -> None:
        """Remove an attempt that has ended."""
        del self.attempts_in_flight[number]

    def start_deadline_timer(self, timers: TimerQueue, on_deadline: Callable[[OpenRequest], None]) -> None:
        """Call `on_deadline` at the deadline, unless the request and all its attempts have ended by then."""
        self._deadline_timer = timers.call_at(self.deadline, partial(on_deadline, self))

    def cancel_deadline_timer(self) -> None:
        """Cancel the deadline timer of an ended request, unless it must still abandon attempts in flight."""
        if self._deadline_timer is not None and not self.attempts_in_flight:
            self._deadline_timer.cancel()


class RequestTable:
    """The open requests, by id; only `reply` writes the final reply of one."""

    def __init__(self) -> None:
        self.open: dict[str, OpenRequest] = {}
        """Requests without a final reply, by id."""
        self.disconnected: dict[str, OpenRequest] = {}
        """Requests whose clients have disconnected, by id, until the policy has been notified."""

    def add(self, request: OpenRequest) -> None:
        """Add a request, whose id must not be in use."""
        self.open[request.client_request.id] = request

    def is_open(self, request: OpenRequest) -> bool:
        """Return whether this request, and not a later one with the same id, is open."""
        return self.open.get(request.client_request.id) is request

    def reply(self, request_id: str, reply: bytes) -> None:
        """Write a request's final reply; do nothing if the request is not open."""
        if request := self.open.pop(request_id, None):
            request.pending_reply.complete(reply)
            request.cancel_deadline_timer()

    def disconnect(self, request_id: str) -> OpenRequest | None:
        """Remove an open request whose client has disconnected, and return it; None if it is not open."""
        request = self.open.pop(request_id, None)
        if request is not None:
            self.disconnected[request_id] = request
        return request

    def forget_disconnected(self, request_id: str) -> None:
        """Remove a request from `disconnected`, once the policy has been notified."""
        self.disconnected.pop(request_id, None)
