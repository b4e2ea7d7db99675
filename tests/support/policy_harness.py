"""A small bench-free world for one gateway: settings, a clock and the answers it asks for."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

from gateway.policy.actions import Action, IncrementCounter, Reject, SetTimer, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
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
from gateway.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, SafetyRules, Settings
from gateway.policy.timers import TimerToken

SAFE = RequestClass(
    "view", latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, idempotency=Idempotency.IDEMPOTENT
)
KEYED = RequestClass(
    "order",
    latency_objective_ms=1000,
    deadline_ms=3000,
    priority_weight=4,
    idempotency=Idempotency.WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=2000,
)
UNSAFE = RequestClass(
    "wipe", latency_objective_ms=1000, deadline_ms=3000, priority_weight=2, idempotency=Idempotency.UNSAFE
)
BASIC = Plan("basic", rate=2, burst=8, over_quota_cost=1)
FIRM = Plan(
    "firm", rate=10, burst=20, concurrency_limit=8, over_quota_cost=1, hard_limit_rate=20, hard_limit_burst=40
)
BONUS = Plan("bonus", rate=1, burst=2, over_quota_revenue=0.2)
RULES = SafetyRules(1000, 0.2, 10_000, 2)


def settings(**changes: Any) -> Settings:
    values: dict[str, object] = {
        "gateway_index": 0,
        "gateway_count": 2,
        "zone": "a",
        "request_classes": (SAFE, KEYED, UNSAFE),
        "plans": (BASIC, FIRM, BONUS),
        "safety_rules": RULES,
        "max_attempts": 3,
        "cancellation_supported": True,
        "counter_available": True,
        "max_retry_after_ms": 500.0,
        "counter_timeout_ms": 50.0,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def entry(
    backend: int, state: EndpointState = EndpointState.READY, started: float = 0, cell: int = 0
) -> Endpoint:
    return Endpoint(backend, "a", cell, started, state)


def backends(*entries: Endpoint, scope: UpdateKind = UpdateKind.SNAPSHOT) -> EndpointUpdate:
    return EndpointUpdate(scope, entries)


class World:
    """Feeds events to one gateway and remembers its actions, each with the time it came."""

    def __init__(self, entries: Iterable[Endpoint] = (), seed: int = 1, **changes: Any) -> None:
        self.gateway = GatewayPolicy(settings(**changes), seed)
        self.now, self.serial = 10_000.0, 0
        self.timers: list[tuple[float, int, TimerToken]] = []
        self.log: list[tuple[float, Action]] = []
        self.give(backends(*(tuple(entries) or (entry(1), entry(2, cell=1), entry(3)))))

    def give(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        self.log += [(self.now, a) for a in actions]
        for a in actions:
            if isinstance(a, SetTimer):
                heapq.heappush(self.timers, (self.now + a.delay_ms, len(self.log), a.token))
        return actions

    def ask(
        self,
        name: str = "view",
        plan: str = "basic",
        customer: str = "c",
        spread: int = 2,
        life: float = 3000,
    ) -> list[Action]:
        self.serial += 1
        return self.give(
            RequestArrived(f"r{self.serial}", name, plan, customer, self.now + life, 1.0, spread, 0)
        )

    def end(
        self,
        send: StartAttempt,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        finished: bool | None = None,
    ) -> list[Action]:
        done = outcome is Outcome.OK if finished is None else finished
        return self.give(AttemptEnded(send.request_id, attempt, send.backend_id, outcome, 1.0, done))

    def pass_time(self, milliseconds: float) -> list[Action]:
        """Let time pass, with the timers firing as the gateway asked."""
        actions: list[Action] = []
        end = self.now + milliseconds
        while self.timers and self.timers[0][0] <= end:
            at, _, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            actions += self.give(TimerFired(token))
        self.now = end
        return actions


class StubPolicy:
    """Stands in for the decision module: keeps the events, and answers each with what a test says."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.actions_by_event: dict[type, list[Action] | Exception] = {}

    def handle(self, now: float, event: Event) -> list[Action]:  # noqa: ARG002 - the signature of the policy
        self.events.append(event)
        answer = self.actions_by_event.get(type(event), [])
        if isinstance(answer, Exception):
            raise answer
        return answer

    def events_of(self, kind: type) -> list[Event]:
        return [event for event in self.events if type(event) is kind]


def attempts_in(actions: Iterable[Action]) -> list[StartAttempt]:
    return [a for a in actions if isinstance(a, StartAttempt)]


def counter_calls_in(actions: Iterable[Action]) -> list[IncrementCounter]:
    return [a for a in actions if isinstance(a, IncrementCounter)]


def rejections_in(actions: Iterable[Action]) -> list[Reject]:
    return [a for a in actions if isinstance(a, Reject)]


UNLIMITED = Plan("basic")
NO_QUOTA: dict[str, Any] = {"plans": (UNLIMITED,), "counter_available": False}


def world(*entries: Endpoint, **changes: Any) -> World:
    """A world without quotas, so that only the backends decide."""
    return World(entries, **{**NO_QUOTA, **changes})


def only_attempt_in(actions: list[Action]) -> StartAttempt:
    """The only attempt that the actions start."""
    (send,) = attempts_in(actions)
    return send


def backends_used(w: World, tries: int) -> set[int]:
    """The backends that so many requests go to."""
    used = set()
    for _ in range(tries):
        send = only_attempt_in(w.ask())
        w.pass_time(20)
        w.end(send)
        used.add(send.backend_id)
        w.pass_time(20)
    return used


def serve_steadily(w: World, rounds: int = 60, gap: float = 20, lag: float = 20) -> None:
    """Let the gateway meet steady traffic, so that it knows the usual latency and rate."""
    for _ in range(rounds):
        send = only_attempt_in(w.ask())
        w.pass_time(lag)
        w.end(send)
        w.pass_time(gap)


def last_attempt_number(w: World, send: StartAttempt) -> int:
    """The number of the last attempt of a start's request."""
    return sum(1 for _, a in w.log if isinstance(a, StartAttempt) and a.request_id == send.request_id) - 1
