"""Cold backends under the sum of all gateways, in virtual time.

The users' rule: beyond N requests of mean work in a window, N being what the settings allow a cold backend
then, only 2 x root of N + 2 more are put down to chance, however many gateways send them.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from gateway.policy.actions import Action, CancelAttempt
from gateway.policy.events import AttemptEnded, Endpoint, EndpointState, EndpointUpdate, Outcome, UpdateKind
from gateway.policy.settings import Idempotency, Plan, RequestClass, SafetyRules
from tests.support.fleet import Caller, Fleet

FREE = Plan("free")
VIEW = RequestClass(
    "view", latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, idempotency=Idempotency.IDEMPOTENT
)
SLOTS, LINE = 2, 40  # requests that a backend works on at once, and that wait; more are turned away
WIRE_MS, FAIL_MS = 2.0, 5.0  # there and back; until a bad backend has failed
LONG = 3.0  # requests of mean work: what counts as long


def mean_work(_: random.Random) -> float:
    return 1.0


def uneven_work(chance: random.Random) -> float:
    """One in twenty takes three to eight times the mean; the mean of all is 1."""
    return chance.uniform(LONG, 8.0) if chance.random() < 0.05 else chance.expovariate(0.95 / 0.725)


@dataclass(frozen=True)
class Day:
    gateways: int
    backends: int
    cold: int  # so many start together, a second into the day
    bad: int  # of the warm ones: half fail at once, half hang
    capacity: float = 11.0  # requests of mean work a second that a warm backend does: N is 8 at a start
    load: float = 0.85  # of what all backends do once they are warm
    burst: float = 1.5  # times the load, in every third second
    initial_capacity: float = 0.18
    slow_start_ms: float = 5_000.0
    overload_multiple: float = 4.0
    fall: float = 1_000.0

    def warmth(self, age: float) -> float:
        return min(
            1.0, self.initial_capacity + (1 - self.initial_capacity) * max(0.0, age) / self.slow_start_ms
        )

    def budget(self, age: float) -> float:
        """What a window that begins at an age may bring, with what is put down to chance."""
        allowed = self.overload_multiple * self.warmth(age) * self.capacity * self.fall / 1000
        return allowed + 2 * math.sqrt(allowed) + 2


@dataclass
class Look:
    """The window of a cold backend that used most of its budget, and what the day held."""

    use: float = 0.0  # of the budget
    work: float = 0.0  # requests of mean work in it
    age: float = 0.0  # of the backend at its end
    sent: int = 0  # attempts to cold backends
    long: int = 0  # of these: long ones
    copies: int = 0  # further attempts beside an earlier one, to any backend
    again: int = 0  # further attempts after all earlier ones had ended


class ColdFleet(Fleet):
    """BackendPool that work off a line, fail or hang; each request's work is the same in all its attempts.

    Attempts that are called off end so, and a second copy runs beside the first.
    """

    def __init__(self, day: Day, seed: int, draw: Callable[[random.Random], float]) -> None:
        self.day, self.draw, self.drawing = day, draw, random.Random(f"work {seed}")
        self.started: dict[int, float] = {}  # cold backends, by number
        self.slots = [[0.0] * SLOTS for _ in range(day.backends)]  # when each is free again
        self.line: list[deque[float]] = [deque() for _ in range(day.backends)]  # when each that waits begins
        self.work: dict[str, float] = {}  # by request
        self.live: dict[tuple[str, int], tuple[int, int, float]] = {}  # gateway, backend and time of the send
        self.ended: set[str] = set()  # requests that have their answer
        self.received: dict[int, list[tuple[float, float]]] = {}  # by cold backend: age and work of each send
        chance, callers = random.Random(f"callers {seed}"), []
        for number in range(3 * day.gateways):
            gateways = [(number + place) % day.gateways for place in range(chance.randint(2, 12))]
            chance.shuffle(gateways)  # a few get most of it, and so several times what others get
            rate = day.load * day.capacity * day.backends / 3 / day.gateways
            callers.append(Caller(f"c{number}", FREE, rate, gateways))
        super().__init__(
            day.gateways,
            callers,
            seed=seed,
            backends=[self.entry(number, 0.0) for number in range(day.backends)],
            retries=2,
            retry_ms=60.0,
            safety_rules=SafetyRules(500.0, day.initial_capacity, day.slow_start_ms, day.overload_multiple),
            request_classes=(VIEW,),
            counter_available=False,
            hedging_allowed=True,
            max_retry_after_ms=60.0,
        )

    def entry(self, number: int, started: float) -> Endpoint:
        return Endpoint(number, "a", number // 4, started, EndpointState.READY)

    def restart(self) -> None:
        numbers = range(self.day.backends - self.day.cold, self.day.backends)
        for number in numbers:
            self.started[number], self.received[number] = self.now, []
            self.slots[number], self.line[number] = [self.now] * SLOTS, deque()
        told = EndpointUpdate(UpdateKind.DELTA, tuple(self.entry(n, self.now) for n in numbers))
        for index in range(self.day.gateways):
            self.give(index, told)

    def first_try(self, caller: Caller) -> None:
        rate = caller.rate * (1.0 if int(self.now // 1000) % 3 else self.day.burst)
        self.later(self.chance.expovariate(rate) * 1000, lambda: self.first_try(caller))
        self.ask(caller, 1)

    def act(self, index: int, action: Action) -> None:
        if isinstance(action, CancelAttempt):
            key = action.request_id, action.attempt_number
            return self.later(0.0, lambda: self.over(key, Outcome.CANCELLED))
        super().act(index, action)

    def send(self, index: int, request: str, backend: int) -> None:
        caller, tries, number = self.requests[request]
        self.requests[request] = caller, tries, number + 1
        if request not in self.work:
            self.work[request] = self.draw(self.drawing)
        if number:
            beside = any((request, earlier) in self.live for earlier in range(number))
            self.seen["copies" if beside else "again"] += 1
        if backend in self.started:  # all that is sent counts, also what it turns away
            self.received[backend].append((self.now - self.started[backend], self.work[request]))
        key = request, number
        self.live[key] = index, backend, self.now
        outcome, lag = self.answer(backend, self.work[request])
        self.later(lag, lambda: self.over(key, outcome))

    def answer(self, backend: int, work: float) -> tuple[Outcome, float]:
        if backend < self.day.bad:
            return (Outcome.FAILED, FAIL_MS) if backend % 2 else (Outcome.TIMED_OUT, VIEW.deadline_ms)
        line = self.line[backend]
        while line and line[0] <= self.now:
            line.popleft()
        if len(line) >= LINE:
            return Outcome.QUEUE_FULL, WIRE_MS
        warmth = self.day.warmth(self.now - self.started[backend]) if backend in self.started else 1.0
        begin = max(self.now, heapq.heappop(self.slots[backend]))
        end = begin + work * SLOTS * 1000 / (self.day.capacity * warmth)
        heapq.heappush(self.slots[backend], end)
        line.append(begin)
        return Outcome.OK, end - self.now + WIRE_MS

    def over(self, key: tuple[str, int], outcome: Outcome) -> None:
        if key in self.live:
            index, backend, sent_at = self.live.pop(key)
            if outcome is Outcome.OK:
                self.ended.add(key[0])
            lag, done = self.now - sent_at, key[0] in self.ended
            self.give(index, AttemptEnded(key[0], key[1], backend, outcome, lag, done))

    def end(self, request: str, wait: float) -> None:
        self.ended.add(request)
        super().end(request, wait)


def played(day: Day, seed: int, draw: Callable[[random.Random], float]) -> Look:
    fleet = ColdFleet(day, seed, draw)
    fleet.play(1)
    fleet.restart()
    seen = fleet.play(day.slow_start_ms / 1000)
    look = Look(copies=seen["copies"], again=seen["again"])
    for received in fleet.received.values():
        window: deque[tuple[float, float]] = deque()
        inside = 0.0
        for age, work in received:
            look.sent, look.long, inside = look.sent + 1, look.long + (work >= LONG), inside + work
            window.append((age, work))
            while window[0][0] <= age - day.fall:
                inside -= window.popleft()[1]
            # Strictly: what the settings allow as the window begins, though it grows meanwhile.
            use = inside / day.budget(age - day.fall)
            if use > look.use:
                look.use, look.work, look.age = use, inside, age
    return look


DAYS = [
    pytest.param(Day(20, 14, cold=8, bad=2), 6, id="20"),
    pytest.param(Day(30, 14, cold=8, bad=2), 6, id="30"),
    pytest.param(
        Day(30, 18, cold=6, bad=2, initial_capacity=0.15, overload_multiple=3.0, fall=3_000.0),
        4,
        id="30-others",
    ),
    pytest.param(Day(200, 48, cold=28, bad=4), 3, id="200"),
]


@pytest.mark.parametrize("draw", [mean_work, uneven_work])
@pytest.mark.parametrize(("day", "seeds"), DAYS)
def test_no_cold_backend_gets_more_than_its_budget_by_all_gateways(
    day: Day, seeds: int, draw: Callable[[random.Random], float]
) -> None:
    """Danger: each gateway sends a cold backend little, and the sum of all brings it down."""
    looks = [played(day, seed, draw) for seed in range(1, seeds + 1)]
    worst = max(looks, key=lambda look: look.use)
    assert worst.use <= 1.0, f"a cold backend got {worst.use:.2f} of its budget: {worst}"
    # The days hold what they are about, and cold backends are not simply left out.
    assert all(look.sent > 8 * day.cold / 2 and look.copies and look.again for look in looks)
    assert draw is mean_work or all(look.long for look in looks)


def test_the_budget_is_worded_as_the_users_word_it() -> None:
    day = Day(20, 14, cold=8, bad=0, capacity=20.0, initial_capacity=0.2, overload_multiple=4.0)
    assert day.budget(-500.0) == day.budget(0.0) == 16 + 2 * 4 + 2
    assert day.budget(day.slow_start_ms) == pytest.approx(80 + 2 * math.sqrt(80) + 2)
