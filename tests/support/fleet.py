"""Many gateways in virtual time: their clients, their counter, a true quota store and backends that answer.

Nothing here waits: events are taken in the order of their times, and chance comes from one seed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter as Tally
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

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

WIRE_MS = 1.0  # from a gateway to the counter, and back


@dataclass
class Caller:
    """A customer: how often it asks, and through which gateways, the first far more than the last."""

    name: str
    plan: Plan
    rate: float  # first tries a second
    gateways: list[int]
    weights: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.weights = self.weights or [1 / (place + 1) for place in range(len(self.gateways))]


@dataclass
class Store:
    """A customer's quota as its contract words it: what is beyond the quota takes nothing."""

    plan: Plan
    units: float
    at: float

    def take(self, now: float) -> bool:
        if inside := self.fill(now) >= 1:
            self.units -= 1
        return inside

    def fill(self, now: float) -> float:
        if not self.plan.rate:
            return math.inf
        self.units = min(self.plan.burst, self.units + (now - self.at) / 1000 * self.plan.rate)
        self.at = now
        return self.units


class Fleet:
    """Plays events until an end; `seen` counts what all gateways did together, by kind and plan."""

    def __init__(
        self,
        gateways: int,
        callers: Iterable[Caller],
        seed: int = 1,
        counter_per_s: float = 1e9,
        counter_queue: int = 20,
        counter_wait: float = math.inf,
        retries: int = 0,
        retry_ms: float = 200.0,
        answer_ms: Callable[[random.Random, int], float] = lambda chance, _: chance.expovariate(1 / 300),
        backends: Iterable[Endpoint] = tuple(
            Endpoint(i, "a", 0, 0.0, EndpointState.READY) for i in range(60)
        ),
        **changes: object,
    ) -> None:
        self.now, self.serial, self.chance = 100_000.0, 0, random.Random(seed)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.callers = list(callers)
        plans = tuple({c.plan.name: c.plan for c in self.callers}.values())
        self.gateways = [
            GatewayPolicy(
                settings(plans=plans, gateway_count=gateways, gateway_index=i, **changes), 1000 * seed + i
            )
            for i in range(gateways)
        ]
        self.stores = {c.name: Store(c.plan, c.plan.burst, self.now) for c in self.callers}
        self.numbers: dict[str, float] = {}
        self.counter_gap, self.counter_free, self.counter_queue = 1000 / counter_per_s, 0.0, counter_queue
        self.counter_wait = counter_wait  # how long a gateway waits for an answer, in milliseconds
        self.retries, self.retry_ms, self.answer_ms = retries, retry_ms, answer_ms
        self.requests: dict[str, tuple[Caller, int, int]] = {}  # caller, tries made, attempts made
        self.seen: Tally[object] = Tally()
        for index in range(gateways):
            self.give(index, EndpointUpdate(UpdateKind.SNAPSHOT, tuple(backends)))
        for caller in self.callers:
            self.later(self.chance.expovariate(caller.rate) * 1000, lambda c=caller: self.first_try(c))

    def later(self, delay: float, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, act))

    def play(self, seconds: float) -> Tally[object]:
        end = self.now + seconds * 1000
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = end
        return self.seen

    def first_try(self, caller: Caller) -> None:
        self.later(self.chance.expovariate(caller.rate) * 1000, lambda: self.first_try(caller))
        self.ask(caller, 1)

    def ask(self, caller: Caller, tries: int) -> None:
        self.serial += 1
        request, (index,) = f"r{self.serial}", self.chance.choices(caller.gateways, caller.weights)
        self.requests[request] = caller, tries, 0
        self.seen["asked", caller.plan.name] += 1
        event = RequestArrived(
            request, "view", caller.plan.name, caller.name, self.now + 3000, 1.0,
            len(caller.gateways), caller.gateways[0], tries > 1,
        )  # fmt: skip
        self.give(index, event)

    def give(self, index: int, event: Event) -> None:
        for action in self.gateways[index].handle(self.now, event):
            self.act(index, action)

    def act(self, index: int, action: Action) -> None:
        match action:
            case SetTimer(delay, token):
                self.later(delay, lambda: self.give(index, TimerFired(token)))
            case IncrementCounter(name, amount, _):
                self.later(WIRE_MS, lambda: self.count(index, name, amount))
            case StartAttempt(request, backend):
                self.send(index, request, backend)
            case Reject(request, wait):
                self.end(request, wait)
            case Fail(request):
                self.end(request, 0.0)

    def count(self, index: int, name: str, amount: float) -> None:
        """One call after another, and a short line before it; also those that nobody waits for any more."""
        waiting = (self.counter_free - self.now) / self.counter_gap
        if waiting > self.counter_queue:
            self.seen["turned away"] += 1
            busy = CounterResponse(name, Outcome.QUEUE_FULL, 0.0)
            return self.later(WIRE_MS, lambda: self.give(index, busy))
        self.counter_free = max(self.counter_free, self.now) + self.counter_gap
        total = self.numbers[name] = self.numbers.get(name, 0.0) + amount
        self.seen["counted"] += 1
        reply, lag = CounterResponse(name, Outcome.OK, total), self.counter_free - self.now + WIRE_MS
        if lag > self.counter_wait:
            self.seen["late"] += 1
            reply, lag = CounterResponse(name, Outcome.TIMED_OUT, 0.0), self.counter_wait
        self.later(lag, lambda: self.give(index, reply))

    def send(self, index: int, request: str, backend: int) -> None:
        caller, tries, attempts = self.requests[request]
        self.requests[request] = caller, tries, attempts + 1
        if not attempts:
            inside = self.stores[caller.name].take(self.now)
            self.seen["inside" if inside else "beyond", caller.plan.name] += 1
        lag = self.answer_ms(self.chance, backend)
        ended = AttemptEnded(request, attempts, backend, Outcome.OK, lag, True)
        self.later(lag, lambda: self.give(index, ended))

    def end(self, request: str, wait: float) -> None:
        caller, tries, attempts = self.requests[request]
        if not attempts:
            room = self.stores[caller.name].fill(self.now) >= 1
            self.seen["refused with room" if room else "refused rightly", caller.plan.name] += 1
        if tries <= self.retries:
            self.later(max(wait, self.retry_ms), lambda: self.ask(caller, tries + 1))
