"""A fleet of policies in virtual time: their clients, the counter, a true quota store and the backends.

Nothing here waits: events are handled in the order of their times, and all chance comes from one seed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from gateway.policy.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    CounterResponse,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.policy import GatewayPolicy
from gateway.policy.settings import Plan
from tests.support.policy_harness import settings

MS_PER_S = 1000.0
START_MS = 100_000.0
"""The virtual time at which a fleet starts."""
COUNTER_ONE_WAY_MS = 1.0
"""From a gateway to the counter, and back."""
REQUEST_LIFETIME_MS = 3000.0
"""From a request's arrival to its deadline."""


class FleetEvent(Enum):
    """What a fleet counts."""

    REQUESTED = auto()
    SENT_WITHIN_QUOTA = auto()
    SENT_BEYOND_QUOTA = auto()
    REJECTED_WITHIN_QUOTA = auto()
    """Rejected though the quota had capacity for it."""
    REJECTED_BEYOND_QUOTA = auto()
    COUNTER_CALL_HANDLED = auto()
    COUNTER_CALL_REJECTED = auto()
    COUNTER_CALL_TIMED_OUT = auto()
    """Handled, but later than its gateway waits."""
    HEDGED = auto()
    """An attempt beside an earlier one of its request."""
    RETRIED = auto()
    """An attempt after all earlier ones of its request have ended."""


class CountKey(NamedTuple):
    """An event, and the plan of the customer that it concerns where it concerns one."""

    event: FleetEvent
    plan: str = ""


@dataclass
class Caller:
    """A customer: how often it asks, and through which gateways, the first far more than the last."""

    name: str
    plan: Plan
    rate: float
    """Requests a second, without their retries."""
    gateways: list[int]
    weights: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Weigh the gateways by their order, unless told otherwise."""
        self.weights = self.weights or [1 / (place + 1) for place in range(len(self.gateways))]


@dataclass
class QuotaStore:
    """A customer's quota as its contract words it: what is beyond the quota takes nothing."""

    plan: Plan
    tokens: float
    refilled_at: float

    def take(self, now: float) -> bool:
        """Take one token; False if there is none."""
        has_token = self.refill(now) >= 1
        if has_token:
            self.tokens -= 1
        return has_token

    def refill(self, now: float) -> float:
        """Add what was earned since the last time; returns the tokens there are, infinite without a quota."""
        if not self.plan.rate:
            return math.inf
        earned = (now - self.refilled_at) / MS_PER_S * self.plan.rate
        self.tokens = min(self.plan.burst, self.tokens + earned)
        self.refilled_at = now
        return self.tokens


@dataclass
class FleetRequest:
    """A request that a client sent to a gateway."""

    caller: Caller
    tries: int
    """Of its client, with this one."""
    attempt_count: int = 0
    """Attempts that its gateway has started."""


def exponential_latency(mean_ms: float) -> Callable[[random.Random, int], float]:
    """Latencies of any backend that are drawn from an exponential distribution."""
    return lambda rng, _backend_id: rng.expovariate(1 / mean_ms)


def ready_backends(count: int) -> tuple[Endpoint, ...]:
    """Backends of one cell that have long been ready."""
    return tuple(Endpoint(number, "a", 0, 0.0, EndpointState.READY) for number in range(count))


TYPICAL_LATENCY = exponential_latency(300)
SIXTY_READY_BACKENDS = ready_backends(60)


@dataclass(frozen=True)
class Conditions:
    """What a fleet's policies meet."""

    seed: int = 1
    counter_calls_per_s: float = 1e9
    counter_queue_length: int = 20
    """Calls that may wait at the counter; it rejects more."""
    counter_timeout_ms: float = math.inf
    """How long a gateway waits for the counter's response."""
    client_retries: int = 0
    client_retry_delay_ms: float = 200.0
    """Least delay before a client retries; a longer Retry-After is kept."""
    latency_ms: Callable[[random.Random, int], float] = TYPICAL_LATENCY
    """Draws the latency of a backend's response."""
    backends: tuple[Endpoint, ...] = SIXTY_READY_BACKENDS


class Fleet:
    """Plays the events of many gateways until an end; `counts` holds what all gateways did together."""

    def __init__(
        self,
        gateway_count: int,
        callers: Iterable[Caller],
        conditions: Conditions | None = None,
        **settings_changes: object,
    ) -> None:
        self.conditions = conditions or Conditions()
        self.now = START_MS
        self.rng = random.Random(self.conditions.seed)
        self.callers = list(callers)
        self.counts: Counter[CountKey] = Counter()
        self.quotas = {
            caller.name: QuotaStore(caller.plan, caller.plan.burst, self.now) for caller in self.callers
        }
        self.counter_totals: dict[str, float] = {}
        self.requests: dict[str, FleetRequest] = {}
        self._last_serial = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter_free_at = 0.0
        self.gateways = self._create_gateways(gateway_count, settings_changes)
        for index in range(gateway_count):
            self.deliver(index, EndpointUpdate(UpdateKind.SNAPSHOT, self.conditions.backends))
        for caller in self.callers:
            self._schedule_next_request(caller, caller.rate)

    def _create_gateways(self, count: int, settings_changes: dict[str, object]) -> list[GatewayPolicy]:
        plans = tuple({caller.plan.name: caller.plan for caller in self.callers}.values())
        return [
            GatewayPolicy(
                settings(plans=plans, gateway_count=count, gateway_index=index, **settings_changes),
                1000 * self.conditions.seed + index,
            )
            for index in range(count)
        ]

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call back after a delay; what is due at the same time is called in the order of scheduling."""
        heapq.heappush(self._queue, (self.now + delay_ms, self._next_serial(), callback))

    def play(self, seconds: float) -> Counter[CountKey]:
        """Let virtual time pass; returns the counts since the start of the fleet."""
        end = self.now + seconds * MS_PER_S
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end
        return self.counts

    def count(self, event: FleetEvent, plan: str = "") -> None:
        """Count an event."""
        self.counts[CountKey(event, plan)] += 1

    def send_first(self, caller: Caller) -> None:
        """A customer's next request, and its first try of it."""
        self._schedule_next_request(caller, caller.rate)
        self.send_request(caller, 1)

    def send_request(self, caller: Caller, tries: int) -> None:
        """Deliver a request to one of the customer's gateways."""
        request_id = f"r{self._next_serial()}"
        (index,) = self.rng.choices(caller.gateways, caller.weights)
        self.requests[request_id] = FleetRequest(caller, tries)
        self.count(FleetEvent.REQUESTED, caller.plan.name)
        event = RequestArrived(
            request_id=request_id,
            request_class="view",
            plan=caller.plan.name,
            customer=caller.name,
            deadline=self.now + REQUEST_LIFETIME_MS,
            cost=1.0,
            gateway_set_size=len(caller.gateways),
            gateway_set_start=caller.gateways[0],
            is_retry=tries > 1,
        )
        self.deliver(index, event)

    def deliver(self, index: int, event: Event) -> None:
        """Let a gateway handle an event, and carry out its actions."""
        for action in self.gateways[index].handle(self.now, event):
            self.carry_out(index, action)

    def carry_out(self, index: int, action: Action) -> None:
        """Carry out one action of a gateway."""
        match action:
            case SetTimer(delay_ms, token):
                self.schedule(delay_ms, lambda: self.deliver(index, TimerFired(token)))
            case IncrementCounter(name, amount, _):
                self.schedule(COUNTER_ONE_WAY_MS, lambda: self._increment_counter(index, name, amount))
            case StartAttempt(request_id, backend_id):
                self.start_attempt(index, request_id, backend_id)
            case Reject(request_id, retry_after_ms):
                self.finish_without_result(request_id, retry_after_ms)
            case Fail(request_id):
                self.finish_without_result(request_id, 0.0)

    def start_attempt(self, index: int, request_id: str, backend_id: int) -> None:
        """Let a backend serve an attempt."""
        request = self.requests[request_id]
        attempt_number = request.attempt_count
        request.attempt_count += 1
        if attempt_number == 0:
            is_within_quota = self.quotas[request.caller.name].take(self.now)
            event = FleetEvent.SENT_WITHIN_QUOTA if is_within_quota else FleetEvent.SENT_BEYOND_QUOTA
            self.count(event, request.caller.plan.name)
        latency_ms = self.conditions.latency_ms(self.rng, backend_id)
        ended = AttemptEnded(request_id, attempt_number, backend_id, Outcome.OK, latency_ms, True)
        self.schedule(latency_ms, lambda: self.deliver(index, ended))

    def finish_without_result(self, request_id: str, retry_after_ms: float) -> None:
        """The client has got a rejection or a failure; it retries if it has tries left."""
        request = self.requests[request_id]
        caller = request.caller
        if not request.attempt_count:
            has_token = self.quotas[caller.name].refill(self.now) >= 1
            event = FleetEvent.REJECTED_WITHIN_QUOTA if has_token else FleetEvent.REJECTED_BEYOND_QUOTA
            self.count(event, caller.plan.name)
        if request.tries <= self.conditions.client_retries:
            delay_ms = max(retry_after_ms, self.conditions.client_retry_delay_ms)
            self.schedule(delay_ms, lambda: self.send_request(caller, request.tries + 1))

    def _increment_counter(self, index: int, name: str, amount: float) -> None:
        """Calls are handled one after another, also those that no gateway waits for any more."""
        call_ms = MS_PER_S / self.conditions.counter_calls_per_s
        if (self._counter_free_at - self.now) / call_ms > self.conditions.counter_queue_length:
            self.count(FleetEvent.COUNTER_CALL_REJECTED)
            rejection = CounterResponse(name, Outcome.QUEUE_FULL, 0.0)
            self.schedule(COUNTER_ONE_WAY_MS, lambda: self.deliver(index, rejection))
            return
        self._counter_free_at = max(self._counter_free_at, self.now) + call_ms
        total = self.counter_totals.get(name, 0.0) + amount
        self.counter_totals[name] = total
        self.count(FleetEvent.COUNTER_CALL_HANDLED)
        response = CounterResponse(name, Outcome.OK, total)
        latency_ms = self._counter_free_at - self.now + COUNTER_ONE_WAY_MS
        if latency_ms > self.conditions.counter_timeout_ms:
            self.count(FleetEvent.COUNTER_CALL_TIMED_OUT)
            response = CounterResponse(name, Outcome.TIMED_OUT, 0.0)
            latency_ms = self.conditions.counter_timeout_ms
        self.schedule(latency_ms, lambda: self.deliver(index, response))

    def _schedule_next_request(self, caller: Caller, rate: float) -> None:
        self.schedule(self.rng.expovariate(rate) * MS_PER_S, lambda: self.send_first(caller))

    def _next_serial(self) -> int:
        self._last_serial += 1
        return self._last_serial
