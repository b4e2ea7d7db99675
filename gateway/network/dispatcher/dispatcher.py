"""Turns what happens on the network into events for the policy, and carries out the policy's actions.

The dispatcher makes no decisions of its own.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from functools import partial

from gateway.network.backends.pool import BackendPool
from gateway.network.clients.pending_reply import PendingReply
from gateway.network.clients.request_parser import ClientRequest
from gateway.network.counter.client import CounterClient
from gateway.network.discovery.endpoint_list import ListedEndpoint
from gateway.network.timers import TimerQueue, now_ms
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
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.settings import Settings

from .attempts import AttemptRunner
from .endpoint_updates import EndpointUpdateForwarder
from .replies import BUSY_REPLY, FAILED_REPLY, ID_IN_USE_REPLY, encode_rejection
from .requests import OpenRequest, RequestTable

log = logging.getLogger(__name__)


class Dispatcher:
    """Owns the policy, and is its only caller.

    Events are handled one after another. An event that an action causes immediately is handled once
    all actions that the policy returned together have been carried out.
    """

    def __init__(  # noqa: PLR0913 - it connects all parts of the program
        self,
        settings: Settings,
        *,
        seed: int,
        timers: TimerQueue,
        backends: BackendPool,
        counter: CounterClient | None,
        max_open_requests: int,
        max_customers: float = math.inf,
    ) -> None:
        """Create a dispatcher without open requests.

        Args:
            settings: the settings of the policy.
            seed: the seed of the policy's random choices.
            timers: the queue for deadlines, attempt timeouts and the policy's timers.
            backends: the pool that sends attempts.
            counter: the client of the counter; without one, each counter call fails as a connect error.
            max_open_requests: bound on the requests without a reply; more are rejected.
            max_customers: bound on the customers whose leases are kept.
        """
        self.policy = GatewayPolicy(settings, seed, max_customers)
        self.timers = timers
        self.backends = backends
        self.counter = counter
        self.max_open_requests = max_open_requests
        self.requests = RequestTable()
        self.attempts = AttemptRunner(
            self.requests, backends, timers, deliver=self.deliver, max_attempts=settings.max_attempts
        )
        self.is_stopping = False
        self._endpoint_updates = EndpointUpdateForwarder(backends, self.deliver)
        self._pending_events: deque[Event] = deque()
        self._is_handling = False

    # ---- events ----

    def deliver(self, event: Event) -> None:
        """Hand an event to the policy after all earlier events, and carry out the actions that it returns."""
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.policy.handle(now_ms(), event):
                self._carry_out(action)
        except Exception:
            # A fault in the handling of one event must not prevent the handling of others.
            log.exception(
                "policy event %s could not be handled; its remaining actions are dropped",
                type(event).__name__,
            )
            self._fail_request_of(event)
        if isinstance(event, ClientDisconnected):
            self.requests.forget_disconnected(event.request_id)

    def _fail_request_of(self, event: Event) -> None:
        """Fail the request of an event that could not be handled, as the request may have run."""
        if isinstance(event, RequestArrived | AttemptEnded):
            self.requests.reply(event.request_id, FAILED_REPLY)

    def on_endpoints(
        self,
        kind: UpdateKind,
        listed_endpoints: tuple[ListedEndpoint, ...],
        is_first: bool = True,
        is_last: bool = True,
    ) -> None:
        """Apply a delta, or one part of a snapshot, to the backend pool and the policy."""
        self._endpoint_updates.apply(kind, listed_endpoints, is_first=is_first, is_last=is_last)

    def on_request(self, client_request: ClientRequest, pending_reply: PendingReply) -> None:
        """Deliver a request; reject it if its id is in use, too many are open or the process is stopping."""
        request_id = client_request.id
        if request_id in self.requests.open or self.attempts.has_in_flight(request_id):
            pending_reply.complete(ID_IN_USE_REPLY)
            return
        if self.is_stopping:
            pending_reply.complete(BUSY_REPLY)  # without a Retry-After, as other gateways may have capacity
            return
        if len(self.requests.open) >= self.max_open_requests:
            retry_after_ms = self.policy.overload_retry_after(client_request.request_class)
            pending_reply.complete(encode_rejection(retry_after_ms))
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
        self.requests.add(request)
        request.start_deadline_timer(self.timers, self._on_deadline)
        self.deliver(event)

    @property
    def open_request_count(self) -> int:
        """Number of requests without a final reply."""
        return len(self.requests.open)

    def _on_deadline(self, request: OpenRequest) -> None:
        """Abandon all attempts of a request at its deadline, and fail the request if it is still open.

        The policy replies before the deadline; a request is still open then only because of a fault.
        """
        request_id = request.client_request.id
        self.attempts.abandon_all(request, Outcome.TIMED_OUT)
        if self.requests.is_open(request):
            log.error("policy did not reply to request %s by its deadline; the request fails", request_id)
            self.requests.reply(request_id, FAILED_REPLY)
            self.deliver(ClientDisconnected(request_id))

    def on_client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected, and cancel its attempts."""
        request = self.requests.disconnect(request_id)
        if request is None:
            return
        self.deliver(ClientDisconnected(request_id))
        # This closes the attempts' connections, so backends may drop a request that they have not started.
        self.attempts.abandon_all(request, Outcome.CANCELLED)
        request.cancel_deadline_timer()

    def _on_counter_response(self, name: str, outcome: Outcome, total: float) -> None:
        self.deliver(CounterResponse(name, outcome, total))

    # ---- actions ----

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempts.start(action)
            case CancelAttempt():
                self.attempts.cancel(action)
            case Reject():
                self.requests.reply(action.request_id, encode_rejection(action.retry_after_ms))
            case Fail():
                self.requests.reply(action.request_id, FAILED_REPLY)
            case SetTimer():
                self._set_timer(action)
            case IncrementCounter():
                self._increment_counter(action)
            case WatchEndpoints():
                pass  # the endpoint list is always watched

    def _set_timer(self, action: SetTimer) -> None:
        fire = partial(self.deliver, TimerFired(action.token))
        self.timers.call_at(now_ms() + action.delay_ms, fire)

    def _increment_counter(self, action: IncrementCounter) -> None:
        if self.counter is None:
            self._on_counter_response(action.name, Outcome.CONNECT_ERROR, 0.0)
            return
        self.counter.increment(action.name, action.amount, action.expires_in_ms, self._on_counter_response)

    # ---- shutdown ----

    def fail_open_requests(self) -> None:
        """Fail all open requests, as the process is stopping, and reject all that arrive later."""
        self.is_stopping = True
        for request_id in list(self.requests.open):
            self.requests.reply(request_id, FAILED_REPLY)
            self.deliver(ClientDisconnected(request_id))
