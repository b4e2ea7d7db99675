"""Delivers events to the policy and carries out its actions; decides nothing itself.

What takes a request or an attempt owns it until it is settled, and one path settles it. A request belongs to
`Dispatcher.open_requests` until it has its reply or its client has disconnected; an attempt belongs to
`Dispatcher.attempts` until it has ended.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from functools import partial

from gateway.policy import GatewayPolicy
from gateway.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.settings import Settings

from .backends.attempt import BackendAttempt
from .backends.pool import BackendPool
from .clients.pending_reply import PendingReply
from .clients.request_parser import ClientRequest
from .codecs.resp import encode_bulk_string
from .counter.client import CounterClient
from .discovery.endpoint_list import ListedEndpoint
from .timers import Timer, TimerQueue, now_ms

log = logging.getLogger(__name__)

FAILED_REPLY = b"-ERR failed\r\n"
"""Promises nothing: the request may have run."""

BUSY_REPLY = b"-BUSY\r\n"
"""Promises that the request did not run."""

BUSY_RETRY_AFTER_REPLY = b"-BUSY %d\r\n"
"""The same, with the milliseconds to wait before a retry."""

ID_IN_USE_REPLY = b"-ERR id in use\r\n"


class OpenRequest:
    """A request from its arrival until its reply is written and the last of its attempts has ended."""

    __slots__ = (
        "attempts_in_flight",
        "attempts_started",
        "client_request",
        "deadline",
        "deadline_timer",
        "pending_reply",
    )

    def __init__(self, client_request: ClientRequest, pending_reply: PendingReply, deadline: float) -> None:
        self.client_request = client_request
        self.pending_reply = pending_reply
        self.deadline = deadline
        self.deadline_timer: Timer | None = None
        self.attempts_started = 0
        self.attempts_in_flight: dict[int, BackendAttempt] = {}
        """By attempt number."""


class Dispatcher:
    """Owns the policy, and is the only one to call it.

    Events are handled one after another: an action that ends at once delivers its event after the other
    actions that the policy returned with it.
    """

    def __init__(  # noqa: PLR0913 - it joins all parts of the program
        self,
        settings: Settings,
        *,
        seed: int,
        timers: TimerQueue,
        backends: BackendPool,
        counter: CounterClient | None,
        max_open_requests: int,
    ) -> None:
        """`seed` is of the policy's random choices; without a counter its calls fail as never made."""
        self.policy = GatewayPolicy(settings, seed)
        self.settings = settings
        self.timers = timers
        self.backends = backends
        self.counter = counter
        self.max_open_requests = max_open_requests
        self.open_requests: dict[str, OpenRequest] = {}
        self.attempts: dict[tuple[str, int], BackendAttempt] = {}
        """Attempts in flight by request id and number, also those of requests that have their reply."""
        self.disconnected_requests: dict[str, OpenRequest] = {}
        """Requests whose clients have disconnected, which the policy has not been notified of yet."""
        self.pending_events: deque[Event] = deque()
        self.is_handling = False
        self.is_stopping = False
        self._snapshot_addresses: dict[int, str] = {}
        """By backend id, from the parts of a snapshot that is not complete yet."""

    # ---- events ----

    def deliver(self, event: Event) -> None:
        """Hand an event to the policy and carry out its actions, after the events that came before it."""
        self.pending_events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.pending_events:
                event = self.pending_events.popleft()
                try:
                    for action in self.policy.handle(now_ms(), event):
                        self._carry_out(action)
                except Exception:
                    # One event's fault must not take the others with it.
                    log.exception(
                        "%s could not be handled; the rest of its actions is dropped", type(event).__name__
                    )
                    self._fail_request_of(event)
                if isinstance(event, ClientDisconnected):
                    self.disconnected_requests.pop(event.request_id, None)
        finally:
            self.is_handling = False

    def _fail_request_of(self, event: Event) -> None:
        """Fail the request of an event that the policy could not handle: it may have run."""
        if isinstance(event, RequestArrived | AttemptEnded):
            self._reply(event.request_id, FAILED_REPLY)

    def on_endpoints(
        self,
        kind: UpdateKind,
        listed_endpoints: tuple[ListedEndpoint, ...],
        is_first: bool = True,
        is_last: bool = True,
    ) -> None:
        """Take changes, or one part of a snapshot, into the backend pool and the policy."""
        is_snapshot = kind is not UpdateKind.DELTA
        if is_snapshot and is_first:
            self._snapshot_addresses = {}
        for listed in listed_endpoints:
            self.backends.update(listed.endpoint.backend_id, listed.address, listed.endpoint.state)
        if is_snapshot:
            self._stage_addresses(listed_endpoints)
        if is_snapshot and is_last:
            self.backends.replace_endpoints(self._snapshot_addresses)
            self._snapshot_addresses = {}
        endpoints = tuple(listed.endpoint for listed in listed_endpoints)
        self.deliver(EndpointUpdate(kind, endpoints, is_first, is_last))

    def _stage_addresses(self, listed_endpoints: tuple[ListedEndpoint, ...]) -> None:
        for listed in listed_endpoints:
            backend_id = listed.endpoint.backend_id
            # A draining backend has no address; of a backend that is listed twice, the last entry counts.
            if address := self.backends.addresses.get(backend_id):
                self._snapshot_addresses[backend_id] = address

    def on_request(self, client_request: ClientRequest, pending_reply: PendingReply) -> None:
        """Deliver a client's request, or reject it if its id is in use or too many requests are open."""
        request_id = client_request.id
        if request_id in self.open_requests or self._has_attempt_in_flight(request_id):
            pending_reply.open_request_id = None  # the id stands for the earlier request
            pending_reply.complete(ID_IN_USE_REPLY)
            return
        if self.is_stopping or len(self.open_requests) >= self.max_open_requests:
            pending_reply.complete(BUSY_REPLY)
            return
        event = RequestArrived(
            request_id=request_id,
            request_class=client_request.request_class,
            plan=client_request.plan,
            customer=client_request.customer,
            deadline=now_ms() + client_request.remaining_ms,
            cost=client_request.cost,
            gateway_set_size=client_request.gateway_set_size,
            gateway_set_start=client_request.gateway_set_start,
            is_retry=client_request.is_retry,
        )
        request = OpenRequest(client_request, pending_reply, event.deadline)
        self.open_requests[request_id] = request
        request.deadline_timer = self.timers.call_at(request.deadline, partial(self._on_deadline, request))
        self.deliver(event)

    def _has_attempt_in_flight(self, request_id: str) -> bool:
        # Danger: an attempt that goes on after its request's reply is known by the same id.
        return any((request_id, number) in self.attempts for number in range(self.settings.max_attempts))

    def _on_deadline(self, request: OpenRequest) -> None:
        """Abandon the attempts of a request whose client stops waiting; the policy then owes its reply."""
        request_id = request.client_request.id
        self._abandon_attempts(request, Outcome.TIMED_OUT)
        if self.open_requests.get(request_id) is request:
            # Only a fault brings a request here without a reply; its client must not wait in vain even so.
            log.error("the policy gave request %s no reply by its deadline; it fails", request_id)
            self._reply(request_id, FAILED_REPLY)
            self.deliver(ClientDisconnected(request_id))

    def on_client_disconnected(self, request_id: str) -> None:
        """Forget a request that nobody waits for any more, and cancel its attempts."""
        request = self.open_requests.pop(request_id, None)
        if request is None:
            return
        self.disconnected_requests[request_id] = request
        self.deliver(ClientDisconnected(request_id))
        # A backend may drop a request that it has not begun once the connection closes.
        self._abandon_attempts(request, Outcome.CANCELLED)
        self._cancel_deadline_timer(request)

    def _on_attempt_ended(  # noqa: PLR0913, PLR0917 - the first three are bound at the attempt's start
        self,
        request: OpenRequest,
        number: int,
        started_at: float,
        attempt: BackendAttempt,
        outcome: Outcome,
        value: bytes,
    ) -> None:
        request_id = request.client_request.id
        del self.attempts[request_id, number]
        del request.attempts_in_flight[number]
        if outcome is Outcome.OK:
            self._reply(request_id, encode_bulk_string(value))
        is_finished = self.open_requests.get(request_id) is not request
        if is_finished:
            self._cancel_deadline_timer(request)
        latency_ms = now_ms() - started_at
        self.deliver(AttemptEnded(request_id, number, attempt.backend_id, outcome, latency_ms, is_finished))

    def _on_counter_response(self, name: str, outcome: Outcome, total: float) -> None:
        self.deliver(CounterResponse(name, outcome, total))

    # ---- actions ----

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._reply(action.request_id, FAILED_REPLY)
            case SetTimer():
                self._set_timer(action)
            case IncrementCounter():
                self._increment_counter(action)
            case WatchEndpoints():
                pass  # the endpoint list is always watched

    def _start_attempt(self, action: StartAttempt) -> None:
        request_id = action.request_id
        if open_request := self.open_requests.get(request_id):
            # Danger: an attempt for a client whose disconnect has not been read yet runs for nobody.
            open_request.pending_reply.detect_disconnect()
        now = now_ms()
        request = self.open_requests.get(request_id)
        if request is None or request.attempts_started >= self.settings.max_attempts:
            self._report_not_started(action, request)
            return
        number = request.attempts_started
        request.attempts_started += 1
        attempt = BackendAttempt(
            backend_id=action.backend_id,
            encode=request.client_request.encode,
            deadline=request.deadline,
            on_end=partial(self._on_attempt_ended, request, number, now),
            start_before=action.start_before,
            detect_disconnect=request.pending_reply.detect_disconnect,
        )
        self.attempts[request_id, number] = attempt
        request.attempts_in_flight[number] = attempt
        if 0 < action.timeout_ms < request.deadline - now:
            on_timeout = partial(self.backends.abandon, attempt, Outcome.TIMED_OUT)
            attempt.set_timeout_timer(self.timers.call_at(now + action.timeout_ms, on_timeout))
        self.backends.start(attempt)

    def _report_not_started(self, action: StartAttempt, open_request: OpenRequest | None) -> None:
        """Report an attempt that was not made, by the number that the policy gave it."""
        request = open_request or self.disconnected_requests.get(action.request_id)
        number = request.attempts_started if request is not None else 0
        if request is not None and open_request is None:
            request.attempts_started += 1
        is_finished = open_request is None
        self.deliver(
            AttemptEnded(action.request_id, number, action.backend_id, Outcome.NOT_STARTED, 0.0, is_finished)
        )

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        if attempt := self.attempts.get((action.request_id, action.attempt_number)):
            self.backends.abandon(attempt, Outcome.CANCELLED)

    def _reject(self, action: Reject) -> None:
        retry_after_ms = math.ceil(action.retry_after_ms)
        reply = BUSY_RETRY_AFTER_REPLY % retry_after_ms if retry_after_ms > 0 else BUSY_REPLY
        self._reply(action.request_id, reply)

    def _set_timer(self, action: SetTimer) -> None:
        fire = partial(self.deliver, TimerFired(action.token))
        self.timers.call_at(now_ms() + action.delay_ms, fire)

    def _increment_counter(self, action: IncrementCounter) -> None:
        if self.counter is None:
            self._on_counter_response(action.name, Outcome.CONNECT_ERROR, 0.0)
            return
        self.counter.increment(action.name, action.amount, action.expires_in_ms, self._on_counter_response)

    # ---- endings ----

    def _abandon_attempts(self, request: OpenRequest, outcome: Outcome) -> None:
        for attempt in list(request.attempts_in_flight.values()):
            self.backends.abandon(attempt, outcome)

    def _reply(self, request_id: str, reply: bytes) -> None:
        """Write a request's one final reply; a request that is not open any more gets no second one."""
        if request := self.open_requests.pop(request_id, None):
            request.pending_reply.complete(reply)
            self._cancel_deadline_timer(request)

    def _cancel_deadline_timer(self, request: OpenRequest) -> None:
        """Cancel the deadline of a request that is settled, unless attempts in flight still need it."""
        if request.deadline_timer is not None and not request.attempts_in_flight:
            request.deadline_timer.cancel()

    def fail_open_requests(self) -> None:
        """Fail every open request as the process stops, and reject all that come from now on."""
        self.is_stopping = True
        for request_id in list(self.open_requests):
            self._reply(request_id, FAILED_REPLY)
            self.deliver(ClientDisconnected(request_id))
