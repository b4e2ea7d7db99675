"""Simulates a fleet in which some backends restart together, and records the attempts sent to these.

The fleet runs in virtual time. A backend processes a queue of requests, fails at once or hangs; the work of a
request is the same in all of its attempts.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from gateway.policy.actions import Action, CancelAttempt
from gateway.policy.events import AttemptEnded, Endpoint, EndpointUpdate, Outcome, UpdateKind
from gateway.policy.settings import Plan, SafetyRules
from tests.support.endpoints import create_endpoint
from tests.support.fleet import Fleet, FleetConditions, FleetEvent
from tests.support.fleet_customers import MS_PER_S, Customer
from tests.support.policy_settings import IDEMPOTENT

FREE = Plan("free")
CONCURRENCY = 2
"""Maximum number of requests that a backend processes at the same time."""
QUEUE_LENGTH = 40
"""Maximum number of requests that wait at a backend; it rejects further requests."""
BACKENDS_PER_CELL = 4
ROUND_TRIP_MS = 2.0
FAILURE_LATENCY_MS = 5.0
"""Latency of a response from a backend that fails every request at once."""
LONG_WORK = 3.0
"""Minimum work of a long request, as a multiple of the mean work."""
CUSTOMERS_PER_GATEWAY = 3
CLIENT_RETRY_DELAY_MS = 60.0

DrawWork = Callable[[random.Random], float]
"""Draws the work of a request, as a multiple of the mean work."""


def mean_work(_: random.Random) -> float:
    """Return the mean work for every request."""
    return 1.0


def uneven_work(rng: random.Random) -> float:
    """Draw work with a mean of 1; one request in twenty takes three to eight times the mean."""
    is_long = rng.random() < 0.05
    return rng.uniform(LONG_WORK, 8.0) if is_long else rng.expovariate(0.95 / 0.725)


@dataclass(frozen=True)
class Scenario:
    """The size, load and slow start settings of a fleet in which some backends restart together."""

    gateway_count: int
    backend_count: int
    restarted_count: int
    """Number of backends that restart together, the last in the list."""
    faulty_count: int
    """Number of faulty backends, the first in the list; half of them hang, half fail requests at once."""
    capacity: float = 11.0
    """Number of requests of mean work that a warm backend processes per second."""
    load: float = 0.85
    """Requested work, as a fraction of the capacity of all backends when they are warm."""
    burst_factor: float = 1.5
    """Factor by which the load is multiplied in every third second."""
    initial_capacity: float = 0.18
    slow_start_ms: float = 5_000.0
    overload_multiple: float = 4.0
    window_ms: float = 1_000.0

    def slow_start_fraction(self, age_ms: float) -> float:
        """Return the fraction of its capacity that a backend has at this age."""
        gained = (1 - self.initial_capacity) * max(0.0, age_ms) / self.slow_start_ms
        return min(1.0, self.initial_capacity + gained)

    def work_budget(self, age_ms: float) -> float:
        """Return the maximum work that a backend may receive in a time window that begins at this age.

        The settings allow N requests of mean work; 2 * sqrt(N) + 2 are added for random variation.
        """
        capacity = self.overload_multiple * self.slow_start_fraction(age_ms) * self.capacity
        allowed = capacity * self.window_ms / 1000
        return allowed + 2 * math.sqrt(allowed) + 2


class AttemptKey(NamedTuple):
    """Identifies an attempt by its request and its number, counted from 0."""

    request_id: str
    number: int


class OpenAttempt(NamedTuple):
    """An attempt that has not ended."""

    gateway_index: int
    backend_id: int
    started_at: float


class ReceivedAttempt(NamedTuple):
    """The work of an attempt that a restarted backend received, and the backend's age at that time."""

    age_ms: float
    work: float


class BackendResult(NamedTuple):
    """The outcome of an attempt at its backend, and its latency."""

    outcome: Outcome
    latency_ms: float


class BackendQueue:
    """The requests that a backend is processing, and those that wait at the backend."""

    def __init__(self, now: float = 0.0) -> None:
        self._slots_free_at = [now] * CONCURRENCY
        self._waiting_until: deque[float] = deque()

    def is_full(self, now: float) -> bool:
        """Return whether `QUEUE_LENGTH` requests are waiting."""
        while self._waiting_until and self._waiting_until[0] <= now:
            self._waiting_until.popleft()
        return len(self._waiting_until) >= QUEUE_LENGTH

    def add(self, now: float, work_ms: float) -> float:
        """Add a request that occupies one slot for `work_ms`; return the time at which it ends."""
        begins_at = max(now, heapq.heappop(self._slots_free_at))
        ends_at = begins_at + work_ms
        heapq.heappush(self._slots_free_at, ends_at)
        self._waiting_until.append(begins_at)
        return ends_at


class SlowStartFleet(Fleet):
    """Runs a scenario; cancelled attempts end at once, and hedged attempts run in parallel with the first."""

    def __init__(self, scenario: Scenario, seed: int, draw_work: DrawWork) -> None:
        self.scenario = scenario
        self.received_by_backend: dict[int, list[ReceivedAttempt]] = {}
        """Attempts received by each restarted backend, by the backend's id."""
        self._draw_work = draw_work
        self._work_rng = random.Random(f"work {seed}")
        self._work_by_request: dict[str, float] = {}
        self._restarted_at: dict[int, float] = {}
        self._queues = [BackendQueue() for _ in range(scenario.backend_count)]
        self._open_attempts: dict[AttemptKey, OpenAttempt] = {}
        self._finished_requests: set[str] = set()
        conditions = FleetConditions(
            seed=seed,
            max_client_retries=2,
            min_client_retry_delay_ms=CLIENT_RETRY_DELAY_MS,
            backends=tuple(self._endpoint(backend_id, 0.0) for backend_id in range(scenario.backend_count)),
        )
        super().__init__(
            scenario.gateway_count,
            self._create_customers(seed),
            conditions,
            safety_rules=SafetyRules(
                drain_grace_ms=500.0,
                initial_capacity=scenario.initial_capacity,
                slow_start_ms=scenario.slow_start_ms,
                overload_multiple=scenario.overload_multiple,
            ),
            request_classes=(IDEMPOTENT,),
            counter_available=False,
            hedging_allowed=True,
            max_retry_after_ms=CLIENT_RETRY_DELAY_MS,
        )

    def _create_customers(self, seed: int) -> list[Customer]:
        """Return customers with equal rates; each sends most of its requests to a few gateways."""
        scenario = self.scenario
        rng = random.Random(f"callers {seed}")
        fleet_rate = scenario.load * scenario.capacity * scenario.backend_count
        rate = fleet_rate / CUSTOMERS_PER_GATEWAY / scenario.gateway_count
        customers = []
        for number in range(CUSTOMERS_PER_GATEWAY * scenario.gateway_count):
            set_size = rng.randint(2, 12)
            gateways = [(number + offset) % scenario.gateway_count for offset in range(set_size)]
            rng.shuffle(gateways)
            customers.append(Customer(f"c{number}", FREE, rate, gateways))
        return customers

    @staticmethod
    def _endpoint(backend_id: int, started_at: float) -> Endpoint:
        return create_endpoint(backend_id, started_at=started_at, cell=backend_id // BACKENDS_PER_CELL)

    def restart_backends(self) -> None:
        """Restart the last backends of the list, and notify all gateways."""
        scenario = self.scenario
        backend_ids = range(scenario.backend_count - scenario.restarted_count, scenario.backend_count)
        for backend_id in backend_ids:
            self._restarted_at[backend_id] = self.now
            self.received_by_backend[backend_id] = []
            self._queues[backend_id] = BackendQueue(self.now)
        endpoints = tuple(self._endpoint(backend_id, self.now) for backend_id in backend_ids)
        update = EndpointUpdate(UpdateKind.DELTA, endpoints)
        for gateway_index in range(scenario.gateway_count):
            self.deliver(gateway_index, update)

    def send_new_request(self, customer: Customer) -> None:
        """Send a request, and schedule the customer's next one; the rate is higher in every third second."""
        is_burst = int(self.now // MS_PER_S) % 3 == 0
        self.schedule_next_request(
            customer, customer.rate * (self.scenario.burst_factor if is_burst else 1.0)
        )
        self.send_request(customer)

    def carry_out(self, gateway_index: int, action: Action) -> None:
        """End a cancelled attempt; carry out all other actions as `Fleet` does."""
        if isinstance(action, CancelAttempt):
            key = AttemptKey(action.request_id, action.attempt_number)
            self.scheduler.schedule(0.0, lambda: self._end_attempt(key, Outcome.CANCELLED))
            return
        super().carry_out(gateway_index, action)

    def start_attempt(self, gateway_index: int, request_id: str, backend_id: int) -> None:
        """Start an attempt on its backend; count it if it is a hedged request or a retry."""
        request = self.requests[request_id]
        number = request.attempt_count
        request.attempt_count += 1
        if number:
            self._count_hedge_or_retry(request_id, number)
        work = self._work_of(request_id)
        self._record_received(backend_id, work)
        key = AttemptKey(request_id, number)
        self._open_attempts[key] = OpenAttempt(gateway_index, backend_id, self.now)
        outcome, latency_ms = self._serve(backend_id, work)
        self.scheduler.schedule(latency_ms, lambda: self._end_attempt(key, outcome))

    def finish_without_result(self, request_id: str, retry_after_ms: float) -> None:
        """Mark a rejected or failed request as finished, which its open attempts report when they end."""
        self._finished_requests.add(request_id)
        super().finish_without_result(request_id, retry_after_ms)

    def _work_of(self, request_id: str) -> float:
        if request_id not in self._work_by_request:
            self._work_by_request[request_id] = self._draw_work(self._work_rng)
        return self._work_by_request[request_id]

    def _count_hedge_or_retry(self, request_id: str, number: int) -> None:
        earlier = (AttemptKey(request_id, other) for other in range(number))
        is_hedge = any(key in self._open_attempts for key in earlier)
        self.count(FleetEvent.HEDGED if is_hedge else FleetEvent.RETRIED)

    def _record_received(self, backend_id: int, work: float) -> None:
        """Record every attempt that is sent to a restarted backend, including those that it rejects."""
        if backend_id in self._restarted_at:
            age_ms = self.now - self._restarted_at[backend_id]
            self.received_by_backend[backend_id].append(ReceivedAttempt(age_ms, work))

    def _serve(self, backend_id: int, work: float) -> BackendResult:
        """Return the result of an attempt that starts now; add the attempt to the queue unless it is full."""
        if backend_id < self.scenario.faulty_count:
            hangs = backend_id % 2 == 0
            if hangs:
                return BackendResult(Outcome.TIMED_OUT, IDEMPOTENT.deadline_ms)
            return BackendResult(Outcome.FAILED, FAILURE_LATENCY_MS)
        queue = self._queues[backend_id]
        if queue.is_full(self.now):
            return BackendResult(Outcome.QUEUE_FULL, ROUND_TRIP_MS)
        fraction = 1.0
        if backend_id in self._restarted_at:
            fraction = self.scenario.slow_start_fraction(self.now - self._restarted_at[backend_id])
        work_ms = work * CONCURRENCY * 1000 / (self.scenario.capacity * fraction)
        ends_at = queue.add(self.now, work_ms)
        return BackendResult(Outcome.OK, ends_at - self.now + ROUND_TRIP_MS)

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
