"""Drives the decision module: events in, actions out. Decides nothing itself."""

from __future__ import annotations

import logging
import math
from collections import deque
from functools import partial

from ..policy import GatewayPolicy
from ..policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..policy.events import (
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
from ..policy.settings import Settings
from .attempt import BackendAttempt
from .backend_pool import BackendPool
from .client_listener import ClientRequest, PendingReply
from .counter_client import CounterClient
from .endpoint_watch import ListedEndpoint
from .resp import bulk
from .timers import Timer, TimerQueue, now_ms

log = logging.getLogger(__name__)

FAILED = b"-ERR failed\r\n"


class Request:
    """One request that is owed a final answer."""

    __slots__ = ("command", "deadline", "live", "made", "slot", "timer")

    def __init__(self, command: ClientRequest, slot: PendingReply, deadline: float) -> None:
        self.command, self.slot, self.deadline = command, slot, deadline
        self.made = 0  # attempts so far
        self.live: dict[int, BackendAttempt] = {}  # attempts out, by number
        self.timer: Timer | None = None  # of its end


class Dispatcher:
    """Owns the module, and is the only one to call it.

    Events are taken one after another: an action that ends at once brings its event after the actions that
    were given with it.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        timers: TimerQueue,
        backends: BackendPool,
        counter: CounterClient | None,
        max_open: int,
    ) -> None:
        self.policy, self.settings = GatewayPolicy(settings, seed), settings
        self.timers, self.backends, self.counter, self.max_open = timers, backends, counter, max_open
        self.requests: dict[str, Request] = {}
        self.attempts: dict[
            tuple[str, int], BackendAttempt
        ] = {}  # out, also those of requests that have ended
        self.listed: dict[int, str] = {}  # addresses, of what has come of a whole list
        self.events: deque[Event] = deque()
        self.left: dict[str, Request] = {}  # their clients have left, which the module has not heard yet
        self.busy = self.ending = False

    # ---- events ----

    def deliver(self, event: Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.policy.handle(now_ms(), event):
                        self.act(action)
                except Exception:
                    # One event's fault must not take the others with it.
                    log.exception("%s could not be handled", type(event).__name__)
                    self.fail_request_of(event)
                if isinstance(event, ClientDisconnected):
                    self.left.pop(event.request_id, None)
        finally:
            self.busy = False

    def fail_request_of(self, event: Event) -> None:
        """The honest end of a request whose event the module failed at: whether it ran is not known."""
        if isinstance(event, RequestArrived | AttemptEnded):
            self.finish(event.request_id, FAILED)

    def on_endpoints(
        self, scope: UpdateKind, members: tuple[ListedEndpoint, ...], first: bool = True, last: bool = True
    ) -> None:
        if scope is not UpdateKind.DELTA and first:
            self.listed = {}
        for member in members:
            self.backends.update(member.entry.backend_id, member.address, member.entry.state)
        if scope is not UpdateKind.DELTA:
            for member in members:
                # One that drains has no address; a list may name a backend twice, and the last word counts.
                if address := self.backends.addresses.get(member.entry.backend_id):
                    self.listed[member.entry.backend_id] = address
            if last:
                self.backends.replace_endpoints(self.listed)
                self.listed = {}
        self.deliver(EndpointUpdate(scope, tuple(m.entry for m in members), first, last))

    def on_request(self, command: ClientRequest, slot: PendingReply) -> None:
        # Danger: an attempt that goes on after its request's answer is known by the id as well.
        out = any((command.id, number) in self.attempts for number in range(self.settings.max_attempts))
        if out or command.id in self.requests:
            slot.request = None  # the other one's
            return slot.complete(b"-ERR id in use\r\n")
        if self.ending or len(self.requests) >= self.max_open:
            return slot.complete(b"-BUSY\r\n")
        event = RequestArrived(
            request_id=command.id,
            request_class=command.request_class,
            plan=command.plan,
            customer=command.customer,
            deadline=now_ms() + command.wait,
            cost=command.units,
            gateway_set_size=command.spread,
            gateway_set_start=command.first,
            is_retry=command.repeat,
        )
        owner = self.requests[command.id] = Request(command, slot, event.deadline)
        owner.timer = self.timers.call_at(owner.deadline, partial(self.on_expired, owner))
        self.deliver(event)

    def on_expired(self, owner: Request) -> None:
        """The client's patience ends: so do the attempts, and the module owes the final answer."""
        request = owner.command.id
        self.abandon(owner, Outcome.TIMED_OUT)
        if self.requests.get(request) is owner:
            # Only a fault brings a request here unanswered; its client must not wait in vain even so.
            log.error("request %s had no answer at its end", request)
            self.finish(request, FAILED)
            self.deliver(ClientDisconnected(request))

    def on_client_disconnected(self, request: str) -> None:
        owner = self.requests.pop(request, None)
        if owner is None:
            return
        self.left[request] = owner
        self.deliver(ClientDisconnected(request))
        # Nobody is waiting any more; a backend may then drop what it has not begun.
        self.abandon(owner, Outcome.CANCELLED)
        self.settle(owner)

    def on_ended(
        self,
        owner: Request,
        number: int,
        sent_at: float,
        attempt: BackendAttempt,
        outcome: Outcome,
        value: bytes,
    ) -> None:
        request = owner.command.id
        del self.attempts[request, number], owner.live[number]
        if outcome is Outcome.OK:
            self.finish(request, bulk(value))
        finished = self.requests.get(request) is not owner
        if finished:
            self.settle(owner)
        lag = now_ms() - sent_at
        self.deliver(AttemptEnded(request, number, attempt.backend_id, outcome, lag, finished))

    def on_counted(self, name: str, outcome: Outcome, reading: float) -> None:
        self.deliver(CounterResponse(name, outcome, reading))

    # ---- actions ----

    def act(self, action: Action) -> None:
        match action:
            case StartAttempt(request, backend, timeout, latest):
                self.send(request, backend, timeout, latest)
            case CancelAttempt(request, number):
                if attempt := self.attempts.get((request, number)):
                    self.backends.abandon(attempt, Outcome.CANCELLED)
            case Reject(request, retry_after):
                wait = math.ceil(retry_after)
                self.finish(request, b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n")
            case Fail(request):
                self.finish(request, FAILED)
            case SetTimer(delay, token):
                self.timers.call_at(now_ms() + delay, partial(self.deliver, TimerFired(token)))
            case IncrementCounter(name, amount, expire_in):
                if self.counter is None:
                    self.deliver(CounterResponse(name, Outcome.CONNECT_ERROR, 0.0))
                else:
                    self.counter.increment(name, amount, expire_in, self.on_counted)
            case WatchEndpoints():
                pass  # the list is always followed

    def send(self, request: str, backend: int, timeout: float, latest: float) -> None:
        if waiting := self.requests.get(request):
            # Danger: forwarded for a client whose disconnect is not read yet, it runs for nobody.
            waiting.slot.detect_disconnect()
        now, owner = now_ms(), self.requests.get(request)
        if owner is None or owner.made >= self.settings.max_attempts:
            of = owner or self.left.get(request)
            number = of.made if of else 0
            if of is not None and owner is None:
                of.made += 1
            self.deliver(AttemptEnded(request, number, backend, Outcome.NOT_STARTED, 0.0, owner is None))
            return
        number, owner.made = owner.made, owner.made + 1
        ended = partial(self.on_ended, owner, number, now)
        attempt = BackendAttempt(
            backend_id=backend,
            encode=owner.command.encode,
            deadline=owner.deadline,
            on_end=ended,
            start_before=latest,
            detect_disconnect=owner.slot.detect_disconnect,
        )
        self.attempts[request, number] = owner.live[number] = attempt
        if 0 < timeout < owner.deadline - now:
            give_up = partial(self.backends.abandon, attempt, Outcome.TIMED_OUT)
            attempt.timeout_timer = self.timers.call_at(now + timeout, give_up)
        self.backends.start(attempt)

    def abandon(self, owner: Request, outcome: Outcome) -> None:
        for attempt in list(owner.live.values()):
            self.backends.abandon(attempt, outcome)

    def finish(self, request: str, reply: bytes) -> None:
        """Give the one final answer; a second one is not sent."""
        if owner := self.requests.pop(request, None):
            owner.slot.complete(reply)
            self.settle(owner)

    def settle(self, owner: Request) -> None:
        """Once a request is answered and nothing of it is out, its timer is not needed."""
        if owner.timer is not None and not owner.live:
            owner.timer.cancel()

    def fail_open_requests(self) -> None:
        """Answer what is still open when the process has to end, and send nothing on from now on."""
        self.ending = True
        for request in list(self.requests):
            self.finish(request, FAILED)
            self.deliver(ClientDisconnected(request))
