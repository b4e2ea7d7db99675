"""Requests from their arrival until their final reply, and the ways in which they end."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.clients.pending_reply import PendingReply
from gateway.network.clients.request_parser import ClientRequest
from gateway.network.timers import Timer, TimerQueue


class OpenRequest:
    """A request from its arrival until its reply is written and the last of its attempts has ended.

    Times are milliseconds of `now_ms`.
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
        """By attempt number."""
        self._deadline_timer: Timer | None = None

    def take_attempt_number(self) -> int:
        """Return the number of the next attempt; policy and dispatcher both count from 0."""
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
        """Call back at the deadline, unless the request and its attempts have all ended by then."""
        self._deadline_timer = timers.call_at(self.deadline, partial(on_deadline, self))

    def cancel_deadline_timer(self) -> None:
        """Cancel the deadline of a request that is settled, unless attempts in flight still need it."""
        if self._deadline_timer is not None and not self.attempts_in_flight:
            self._deadline_timer.cancel()


class RequestTable:
    """The requests that are open, and the one path on which each gets its final reply."""

    def __init__(self) -> None:
        self.open: dict[str, OpenRequest] = {}
        """Requests without a final reply, by id."""
        self.disconnected: dict[str, OpenRequest] = {}
        """Requests whose clients have disconnected, and the policy has not been notified yet; by id."""

    def add(self, request: OpenRequest) -> None:
        """Take a request whose id is not in use."""
        self.open[request.client_request.id] = request

    def is_open(self, request: OpenRequest) -> bool:
        """Whether this very request, and not a later one with its id, has no final reply yet."""
        return self.open.get(request.client_request.id) is request

    def reply(self, request_id: str, reply: bytes) -> None:
        """Write a request's final reply; without effect unless the request is open."""
        if request := self.open.pop(request_id, None):
            request.pending_reply.complete(reply)
            request.cancel_deadline_timer()

    def disconnect(self, request_id: str) -> OpenRequest | None:
        """End a request whose client has disconnected; None if it is not open."""
        request = self.open.pop(request_id, None)
        if request is not None:
            self.disconnected[request_id] = request
        return request

    def forget_disconnected(self, request_id: str) -> None:
        """Forget a request once the policy was notified that its client has disconnected."""
        self.disconnected.pop(request_id, None)
