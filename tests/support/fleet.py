"""Simulates the policies of a fleet of gateways in virtual time, with clients, counter and backends.

No real time passes: events are handled in the order of their virtual times. All random draws come from one
seed.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from gateway.policy.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    CounterResponse,
    Endpoint,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.policy import GatewayPolicy
from tests.support.endpoints import ready_endpoints
from tests.support.fleet_customers import MS_PER_S, Customer, ReferenceQuota
from tests.support.policy_settings import IDEMPOTENT, settings
from tests.support.simulated_counter import SimulatedCounter
from tests.support.virtual_scheduler import VirtualScheduler

START_MS = 100_000.0
"""The virtual time at which a fleet starts, in milliseconds."""
COUNTER_ONE_WAY_LATENCY_MS = 1.0
"""Network latency in each direction between a gateway and the counter."""
REQUEST_LIFETIME_MS = 3000.0
"""Time from a request's arrival to its deadline."""


class FleetEvent(Enum):
    """The events that a fleet counts."""

    REQUESTED = auto()
    FORWARDED_WITHIN_QUOTA = auto()
    FORWARDED_BEYOND_QUOTA = auto()
    REJECTED_WITHIN_QUOTA = auto()
    """A request that was rejected though the quota had a token for it."""
    REJECTED_BEYOND_QUOTA = auto()
    COUNTER_CALL_HANDLED = auto()
    COUNTER_CALL_REJECTED = auto()
    COUNTER_CALL_TIMED_OUT = auto()
    """A call that the counter handled after its gateway had stopped waiting for it."""
    HEDGED = auto()
    """An attempt that started while an earlier attempt of its request was in flight."""
    RETRIED = auto()
    """An attempt that started after all earlier attempts of its request had ended."""


class CountKey(NamedTuple):
    """An event, and the customer's plan; the plan is empty for events that are not counted by plan."""

    event: FleetEvent
    plan: str = ""


@dataclass
class FleetRequest:
    """A request that a client sent to a gateway."""

    customer: Customer
    client_attempt: int
    """1 for the first attempt of the client, 2 for its first retry, and so on."""
    attempt_count: int = 0
    """Number of attempts that the gateway has started for the request."""


def exponential_latency(mean_ms: float) -> Callable[[random.Random, int], float]:
    """Return a function that draws latencies from one exponential distribution for all backends."""
    return lambda rng, _backend_id: rng.expovariate(1 / mean_ms)


TYPICAL_LATENCY = exponential_latency(300)
SIXTY_READY_BACKENDS = tuple(ready_endpoints(range(60), cells=1))


@dataclass(frozen=True)
class FleetConditions:
    """The conditions that a fleet's policies run under: counter, clients and backends."""

    seed: int = 1
    counter_calls_per_s: float = 1e9
    counter_queue_length: int = 20
    """Maximum number of calls that wait at the counter; it rejects further calls."""
    counter_timeout_ms: float = math.inf
    """Maximum time that a gateway waits for the counter's response."""
    max_client_retries: int = 0
    min_client_retry_delay_ms: float = 200.0
    """Minimum delay before a client retries; the client waits longer if Retry-After is longer."""
    draw_latency_ms: Callable[[random.Random, int], float] = TYPICAL_LATENCY
    """Draws the latency of a response, given the random generator and the backend's id."""
    backends: tuple[Endpoint, ...] = SIXTY_READY_BACKENDS


class Fleet:
    """Delivers events to many gateways and carries out their actions; `counts` covers all gateways."""

    def __init__(
        self,
        gateway_count: int,
        customers: Iterable[Customer],
        conditions: FleetConditions | None = None,
        **settings_changes: object,
    ) -> None:
        self.conditions = conditions or FleetConditions()
        self.scheduler = VirtualScheduler(START_MS)
        self.rng = random.Random(self.conditions.seed)
        self.customers = list(customers)
        self.counts: Counter[CountKey] = Counter()
        self.quotas = {
            customer.name: ReferenceQuota.full(customer.plan, self.now) for customer in self.customers
        }
        self.counter = SimulatedCounter(
            calls_per_s=self.conditions.counter_calls_per_s,
            queue_length=self.conditions.counter_queue_length,
            timeout_ms=self.conditions.counter_timeout_ms,
            one_way_latency_ms=COUNTER_ONE_WAY_LATENCY_MS,
        )
        self.requests: dict[str, FleetRequest] = {}
        self._request_numbers = itertools.count(1)
        self.gateways = self._create_gateways(gateway_count, settings_changes)
        for gateway_index in range(gateway_count):
            self.deliver(gateway_index, EndpointUpdate(UpdateKind.SNAPSHOT, self.conditions.backends))
        for customer in self.customers:
            self.schedule_next_request(customer, customer.rate)

    def _create_gateways(self, count: int, settings_changes: dict[str, object]) -> list[GatewayPolicy]:
        plans = tuple({customer.plan.name: customer.plan for customer in self.customers}.values())
        return [
            GatewayPolicy(
                settings(plans=plans, gateway_count=count, gateway_index=gateway_index, **settings_changes),
                1000 * self.conditions.seed + gateway_index,
            )
            for gateway_index in range(count)
        ]

    @property
    def now(self) -> float:
        """The current virtual time in milliseconds."""
        return self.scheduler.now

    def run(self, seconds: float) -> Counter[CountKey]:
        """Run for `seconds` of virtual time; return the counts since the start of the fleet."""
        self.scheduler.advance(seconds * MS_PER_S)
        return self.counts

    def stall(self, seconds: float) -> None:
        """Let virtual time pass without handling events; events that fall due meanwhile are handled late."""
        self.scheduler.stall(seconds * MS_PER_S)

    def count(self, event: FleetEvent, plan: str = "") -> None:
        """Add 1 to the count of an event for a plan."""
        self.counts[CountKey(event, plan)] += 1

    def schedule_next_request(self, customer: Customer, rate: float) -> None:
        """Schedule a customer's next request after a random delay; `rate` is in requests per second."""
        delay_ms = self.rng.expovariate(rate) * MS_PER_S
        self.scheduler.schedule(delay_ms, lambda: self.send_new_request(customer))

    def send_new_request(self, customer: Customer) -> None:
        """Send a request that is not a retry, and schedule the customer's next one."""
        self.schedule_next_request(customer, customer.rate)
        self.send_request(customer)

    def send_request(self, customer: Customer, client_attempt: int = 1) -> None:
        """Send a request to one of the customer's gateways, chosen at random by weight."""
        request_id = f"r{next(self._request_numbers)}"
        (gateway_index,) = self.rng.choices(customer.gateways, customer.weights)
        self.requests[request_id] = FleetRequest(customer, client_attempt)
        self.count(FleetEvent.REQUESTED, customer.plan.name)
        event = RequestArrived(
            request_id=request_id,
            request_class=IDEMPOTENT.name,
            plan=customer.plan.name,
            customer=customer.name,
            deadline=self.now + REQUEST_LIFETIME_MS,
            cost=1.0,
            gateway_set_size=len(customer.gateways),
            gateway_set_start=customer.gateways[0],
            is_retry=client_attempt > 1,
        )
        self.deliver(gateway_index, event)

    def deliver(self, gateway_index: int, event: Event) -> None:
        """Let a gateway handle an event, and carry out the actions that it returns."""
        for action in self.gateways[gateway_index].handle(self.now, event):
            self.carry_out(gateway_index, action)

    def carry_out(self, gateway_index: int, action: Action) -> None:
        """Carry out one action of a gateway."""
        match action:
            case SetTimer(delay_ms, token):
                self.scheduler.schedule(delay_ms, lambda: self.deliver(gateway_index, TimerFired(token)))
            case IncrementCounter():
                self.scheduler.schedule(
                    COUNTER_ONE_WAY_LATENCY_MS, lambda: self._increment_counter(gateway_index, action)
                )
            case StartAttempt(request_id, backend_id):
                self.start_attempt(gateway_index, request_id, backend_id)
            case Reject(request_id, retry_after_ms):
                self.finish_without_result(request_id, retry_after_ms)
            case Fail(request_id):
                self.finish_without_result(request_id, 0.0)

    def start_attempt(self, gateway_index: int, request_id: str, backend_id: int) -> None:
        """Start an attempt, which succeeds after a random latency."""
        request = self.requests[request_id]
        attempt_number = request.attempt_count
        request.attempt_count += 1
        if attempt_number == 0:
            self._count_forwarded(request.customer)
        latency_ms = self.conditions.draw_latency_ms(self.rng, backend_id)
        ended = AttemptEnded(
            request_id=request_id,
            attempt_number=attempt_number,
            backend_id=backend_id,
            outcome=Outcome.OK,
            latency_ms=latency_ms,
            request_finished=True,
        )
        self.scheduler.schedule(latency_ms, lambda: self.deliver(gateway_index, ended))

    def finish_without_result(self, request_id: str, retry_after_ms: float) -> None:
        """Handle a rejected or failed request: its client retries if it has retries left."""
        request = self.requests[request_id]
        if not request.attempt_count:
            self._count_rejected(request.customer)
        if request.client_attempt <= self.conditions.max_client_retries:
            delay_ms = max(retry_after_ms, self.conditions.min_client_retry_delay_ms)
            next_attempt = request.client_attempt + 1
            self.scheduler.schedule(delay_ms, lambda: self.send_request(request.customer, next_attempt))

    def _count_forwarded(self, customer: Customer) -> None:
        is_within_quota = self.quotas[customer.name].take(self.now)
        event = FleetEvent.FORWARDED_WITHIN_QUOTA if is_within_quota else FleetEvent.FORWARDED_BEYOND_QUOTA
        self.count(event, customer.plan.name)

    def _count_rejected(self, customer: Customer) -> None:
        is_within_quota = self.quotas[customer.name].has_token(self.now)
        event = FleetEvent.REJECTED_WITHIN_QUOTA if is_within_quota else FleetEvent.REJECTED_BEYOND_QUOTA
        self.count(event, customer.plan.name)

    def _increment_counter(self, gateway_index: int, call: IncrementCounter) -> None:
        result = self.counter.increment(self.now, call.name, call.amount)
        if result.outcome is Outcome.QUEUE_FULL:
            self.count(FleetEvent.COUNTER_CALL_REJECTED)
        else:
            self.count(FleetEvent.COUNTER_CALL_HANDLED)
        if result.outcome is Outcome.TIMED_OUT:
            self.count(FleetEvent.COUNTER_CALL_TIMED_OUT)
        response = CounterResponse(call.name, result.outcome, result.total)
        self.scheduler.schedule(result.latency_ms, lambda: self.deliver(gateway_index, response))
