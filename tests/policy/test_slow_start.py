"""Slow start of backends under the sum of all gateways, in virtual time.

The users' rule: beyond N requests of mean work in a window, N being what the settings allow a backend that is
warming up then, only 2 x root of N + 2 more are put down to chance, however many gateways send them.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import pytest

from gateway.policy.actions import Action, CancelAttempt
from gateway.policy.events import AttemptEnded, Endpoint, EndpointState, EndpointUpdate, Outcome, UpdateKind
from gateway.policy.settings import Idempotency, Plan, RequestClass, SafetyRules
from tests.support.fleet import Conditions, CountKey, Fleet, FleetEvent
from tests.support.fleet_customers import MS_PER_S, Customer

FREE = Plan("free")
VIEW = RequestClass(
    "view", latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, idempotency=Idempotency.IDEMPOTENT
)
CONCURRENCY = 2
"""Requests that a backend works on at once."""
QUEUE_LENGTH = 40
"""Requests that may wait at a backend; it rejects more."""
ROUND_TRIP_MS = 2.0
FAILURE_MS = 5.0
"""Until a faulty backend has failed."""
LONG_WORK = 3.0
"""Requests of mean work that count as a long one."""
CALLERS_PER_GATEWAY = 3
SECOND_OF_RESTART = 1
CLIENT_RETRY_DELAY_MS = 60.0

DrawWork = Callable[[random.Random], float]
"""Draws the work of a request, in requests of mean work."""


def mean_work(_: random.Random) -> float:
    """Alike for all."""
    return 1.0


def uneven_work(rng: random.Random) -> float:
    """One in twenty takes three to eight times the mean; the mean of all is 1."""
    return rng.uniform(LONG_WORK, 8.0) if rng.random() < 0.05 else rng.expovariate(0.95 / 0.725)


@dataclass(frozen=True)
class Scenario:
    """A fleet, some of whose backends restart together."""

    gateway_count: int
    backend_count: int
    restarted_count: int
    """Backends that restart together, a second into the scenario."""
    faulty_count: int
    """Of the others: half fail at once, half hang."""
    capacity: float = 11.0
    """Requests of mean work a second that a warm backend does: N is 8 at a start."""
    load: float = 0.85
    """Of what all backends do once they are warm."""
    burst: float = 1.5
    """Times the load, in every third second."""
    initial_capacity: float = 0.18
    slow_start_ms: float = 5_000.0
    overload_multiple: float = 4.0
    window_ms: float = 1_000.0

    def slow_start_fraction(self, age_ms: float) -> float:
        """The part of its capacity that a backend has at an age."""
        gained = (1 - self.initial_capacity) * max(0.0, age_ms) / self.slow_start_ms
        return min(1.0, self.initial_capacity + gained)

    def budget(self, age_ms: float) -> float:
        """What a window that begins at an age may bring, with what is put down to chance."""
        capacity = self.overload_multiple * self.slow_start_fraction(age_ms) * self.capacity
        allowed = capacity * self.window_ms / 1000
        return allowed + 2 * math.sqrt(allowed) + 2


@dataclass
class Observation:
    """The window of a restarted backend that used most of its budget, and what the scenario held."""

    budget_use: float = 0.0
    work: float = 0.0
    """Requests of mean work in that window."""
    age_ms: float = 0.0
    """Of the backend at the end of that window."""
    attempts: int = 0
    """To restarted backends."""
    long_attempts: int = 0
    hedges: int = 0
    """To any backend."""
    retries: int = 0
    """To any backend."""


class AttemptKey(NamedTuple):
    """Identifies an attempt."""

    request_id: str
    number: int


class OpenAttempt(NamedTuple):
    """An attempt that has not ended."""

    gateway_index: int
    backend_id: int
    started_at: float


class ReceivedAttempt(NamedTuple):
    """What a restarted backend received."""

    age_ms: float
    work: float


class SlowStartFleet(Fleet):
    """Backends that work off a queue, fail or hang; each request's work is the same in all its attempts.

    Attempts that are cancelled end so, and a hedged request runs beside the first.
    """

    def __init__(self, scenario: Scenario, seed: int, draw_work: DrawWork) -> None:
        self.scenario = scenario
        self.received: dict[int, list[ReceivedAttempt]] = {}  # by restarted backend
        self._draw_work = draw_work
        self._work_rng = random.Random(f"work {seed}")
        self._work: dict[str, float] = {}  # by request
        self._restarted_at: dict[int, float] = {}  # by backend
        self._free_at = [[0.0] * CONCURRENCY for _ in range(scenario.backend_count)]
        self._queued_until: list[deque[float]] = [deque() for _ in range(scenario.backend_count)]
        self._open_attempts: dict[AttemptKey, OpenAttempt] = {}
        self._finished_requests: set[str] = set()
        conditions = Conditions(
            seed=seed,
            client_retries=2,
            client_retry_delay_ms=CLIENT_RETRY_DELAY_MS,
            backends=tuple(self._endpoint(number, 0.0) for number in range(scenario.backend_count)),
        )
        super().__init__(
            scenario.gateway_count,
            self._create_callers(seed),
            conditions,
            safety_rules=SafetyRules(
                drain_grace_ms=500.0,
                initial_capacity=scenario.initial_capacity,
                slow_start_ms=scenario.slow_start_ms,
                overload_multiple=scenario.overload_multiple,
            ),
            request_classes=(VIEW,),
            counter_available=False,
            hedging_allowed=True,
            max_retry_after_ms=CLIENT_RETRY_DELAY_MS,
        )

    def _create_callers(self, seed: int) -> list[Customer]:
        scenario = self.scenario
        rng = random.Random(f"callers {seed}")
        callers = []
        for number in range(CALLERS_PER_GATEWAY * scenario.gateway_count):
            set_size = rng.randint(2, 12)
            gateways = [(number + place) % scenario.gateway_count for place in range(set_size)]
            rng.shuffle(gateways)  # a few get most of it, and so several times what others get
            fleet_rate = scenario.load * scenario.capacity * scenario.backend_count
            rate = fleet_rate / CALLERS_PER_GATEWAY / scenario.gateway_count
            callers.append(Customer(f"c{number}", FREE, rate, gateways))
        return callers

    @staticmethod
    def _endpoint(number: int, started_at: float) -> Endpoint:
        return Endpoint(number, "a", number // 4, started_at, EndpointState.READY)

    def restart_backends(self) -> None:
        """Restart the last backends, and tell all gateways."""
        scenario = self.scenario
        numbers = range(scenario.backend_count - scenario.restarted_count, scenario.backend_count)
        for number in numbers:
            self._restarted_at[number] = self.now
            self.received[number] = []
            self._free_at[number] = [self.now] * CONCURRENCY
            self._queued_until[number] = deque()
        update = EndpointUpdate(UpdateKind.DELTA, tuple(self._endpoint(n, self.now) for n in numbers))
        for index in range(scenario.gateway_count):
            self.deliver(index, update)

    def send_new_request(self, caller: Customer) -> None:
        """Customers ask more often in every third second."""
        is_burst = int(self.now // MS_PER_S) % 3 == 0
        self.schedule_next_request(caller, caller.rate * (self.scenario.burst if is_burst else 1.0))
        self.send_request(caller)

    def carry_out(self, index: int, action: Action) -> None:
        """End cancelled attempts; all else as in any fleet."""
        if isinstance(action, CancelAttempt):
            key = AttemptKey(action.request_id, action.attempt_number)
            self.scheduler.schedule(0.0, lambda: self._end_attempt(key, Outcome.CANCELLED))
            return
        super().carry_out(index, action)

    def start_attempt(self, index: int, request_id: str, backend_id: int) -> None:
        """Let the backend work on it in its turn."""
        request = self.requests[request_id]
        number = request.attempt_count
        request.attempt_count += 1
        if request_id not in self._work:
            self._work[request_id] = self._draw_work(self._work_rng)
        work = self._work[request_id]
        if number:
            earlier = (AttemptKey(request_id, other) for other in range(number))
            is_hedge = any(key in self._open_attempts for key in earlier)
            self.count(FleetEvent.HEDGED if is_hedge else FleetEvent.RETRIED)
        if backend_id in self._restarted_at:  # all that is sent counts, also what it rejects
            age_ms = self.now - self._restarted_at[backend_id]
            self.received[backend_id].append(ReceivedAttempt(age_ms, work))
        key = AttemptKey(request_id, number)
        self._open_attempts[key] = OpenAttempt(index, backend_id, self.now)
        outcome, latency_ms = self._serve(backend_id, work)
        self.scheduler.schedule(latency_ms, lambda: self._end_attempt(key, outcome))

    def finish_without_result(self, request_id: str, retry_after_ms: float) -> None:
        """The request is over for all of its attempts."""
        self._finished_requests.add(request_id)
        super().finish_without_result(request_id, retry_after_ms)

    def _serve(self, backend_id: int, work: float) -> tuple[Outcome, float]:
        """The outcome of an attempt that starts now, and its latency in milliseconds."""
        if backend_id < self.scenario.faulty_count:
            hangs = backend_id % 2 == 0
            return (Outcome.TIMED_OUT, VIEW.deadline_ms) if hangs else (Outcome.FAILED, FAILURE_MS)
        queued_until = self._queued_until[backend_id]
        while queued_until and queued_until[0] <= self.now:
            queued_until.popleft()
        if len(queued_until) >= QUEUE_LENGTH:
            return Outcome.QUEUE_FULL, ROUND_TRIP_MS
        fraction = 1.0
        if backend_id in self._restarted_at:
            fraction = self.scenario.slow_start_fraction(self.now - self._restarted_at[backend_id])
        begin = max(self.now, heapq.heappop(self._free_at[backend_id]))
        end = begin + work * CONCURRENCY * 1000 / (self.scenario.capacity * fraction)
        heapq.heappush(self._free_at[backend_id], end)
        queued_until.append(begin)
        return Outcome.OK, end - self.now + ROUND_TRIP_MS

    def _end_attempt(self, key: AttemptKey, outcome: Outcome) -> None:
        attempt = self._open_attempts.pop(key, None)
        if attempt is None:
            return
        if outcome is Outcome.OK:
            self._finished_requests.add(key.request_id)
        ended = AttemptEnded(
            request_id=key.request_id,
            attempt_number=key.number,
            backend_id=attempt.backend_id,
            outcome=outcome,
            latency_ms=self.now - attempt.started_at,
            request_finished=key.request_id in self._finished_requests,
        )
        self.deliver(attempt.gateway_index, ended)


def observe(scenario: Scenario, seed: int, draw_work: DrawWork) -> Observation:
    """Play a scenario until its restarted backends are warm."""
    fleet = SlowStartFleet(scenario, seed, draw_work)
    fleet.play(SECOND_OF_RESTART)
    fleet.restart_backends()
    counts = fleet.play(scenario.slow_start_ms / MS_PER_S)
    observation = Observation(
        hedges=counts[CountKey(FleetEvent.HEDGED)], retries=counts[CountKey(FleetEvent.RETRIED)]
    )
    for received in fleet.received.values():
        observe_backend(scenario, received, observation)
    return observation


def observe_backend(scenario: Scenario, received: list[ReceivedAttempt], observation: Observation) -> None:
    """Slide a window over what one backend received."""
    window: deque[ReceivedAttempt] = deque()
    work_in_window = 0.0
    for attempt in received:
        observation.attempts += 1
        observation.long_attempts += attempt.work >= LONG_WORK
        work_in_window += attempt.work
        window.append(attempt)
        window_start = attempt.age_ms - scenario.window_ms
        while window[0].age_ms <= window_start:
            work_in_window -= window.popleft().work
        # Strictly: what the settings allow as the window begins, though it grows meanwhile.
        budget_use = work_in_window / scenario.budget(window_start)
        if budget_use > observation.budget_use:
            observation.budget_use = budget_use
            observation.work = work_in_window
            observation.age_ms = attempt.age_ms


SCENARIOS = [
    pytest.param(Scenario(20, 14, restarted_count=8, faulty_count=2), 6, id="20"),
    pytest.param(Scenario(30, 14, restarted_count=8, faulty_count=2), 6, id="30"),
    pytest.param(
        Scenario(
            30,
            18,
            restarted_count=6,
            faulty_count=2,
            initial_capacity=0.15,
            overload_multiple=3.0,
            window_ms=3_000.0,
        ),
        4,
        id="30-others",
    ),
    pytest.param(Scenario(200, 48, restarted_count=28, faulty_count=4), 3, id="200"),
]


@pytest.mark.parametrize("draw_work", [mean_work, uneven_work])
@pytest.mark.parametrize(("scenario", "seeds"), SCENARIOS)
def test_all_gateways_together_keep_the_budget_of_a_backend_in_slow_start(
    scenario: Scenario, seeds: int, draw_work: DrawWork
) -> None:
    """Danger: each gateway sends a backend in slow start little, and the sum of all overloads it."""
    observations = [observe(scenario, seed, draw_work) for seed in range(1, seeds + 1)]

    worst = max(observations, key=lambda observation: observation.budget_use)
    assert worst.budget_use <= 1.0, f"a restarted backend got {worst.budget_use:.2f} of its budget: {worst}"
    # The scenarios hold what they are about, and restarted backends are not simply left out.
    for observation in observations:
        assert observation.attempts > 8 * scenario.restarted_count / 2
        assert observation.hedges
        assert observation.retries
        assert observation.long_attempts or draw_work is mean_work


def test_the_budget_is_the_users_formula() -> None:
    scenario = Scenario(
        20,
        14,
        restarted_count=8,
        faulty_count=0,
        capacity=20.0,
        initial_capacity=0.2,
        overload_multiple=4.0,
    )

    assert scenario.budget(-500.0) == 16 + 2 * 4 + 2
    assert scenario.budget(0.0) == 16 + 2 * 4 + 2
    assert scenario.budget(scenario.slow_start_ms) == pytest.approx(80 + 2 * math.sqrt(80) + 2)
