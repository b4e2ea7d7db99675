"""Checks the safety rules on random valid event sequences, and that the same events give the same actions."""

from __future__ import annotations

import math
import os
import subprocess
import sys
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.actions import Action, CancelAttempt, Fail, IncrementCounter, Reject, StartAttempt
from gateway.policy.events import AttemptEnded, ClientDisconnected, Outcome
from tests.support.endpoints import DRAINING, READY, REMOVED, create_endpoint, delta
from tests.support.policy_harness import PolicyHarness, TimedAction
from tests.support.policy_settings import BASIC, HARD_LIMITED, IDEMPOTENT, SAFETY_RULES, UNSAFE, WITH_KEY

OUTCOMES = list(Outcome)
OUTCOMES_WITHOUT_RUN = {Outcome.QUEUE_FULL, Outcome.CONNECT_ERROR, Outcome.NOT_STARTED}
CLASS_NAMES = (IDEMPOTENT.name, WITH_KEY.name, UNSAFE.name)
STATES = (READY, DRAINING, REMOVED)
BACKEND_COUNT = 5
CELL_COUNT = 2
MAX_ATTEMPTS = 3
GATEWAY_COUNT = 2
FINISH_TOLERANCE_MS = 8.0
"""How long after its deadline a request may get its final response."""


class StepKind(Enum):
    """What happens at one step of a random event sequence."""

    REQUEST = "r"
    END_ATTEMPT = "o"
    PASS_TIME = "t"
    CHANGE_ENDPOINT = "l"
    COUNTER_RESPONSE = "c"
    DISCONNECT = "x"


class Step(NamedTuple):
    """One step of a random event sequence; the meaning of `choice` and `amount` depends on its kind."""

    kind: StepKind
    choice: int
    amount: int


STEPS = st.lists(
    st.builds(Step, st.sampled_from("rrrrroootlcx").map(StepKind), st.integers(0, 7), st.integers(0, 400)),
    min_size=20,
    max_size=150,
)


@dataclass
class ObservedAttempt:
    """An attempt that the policy started."""

    backend_id: int
    started_at: float
    outcome: Outcome | None = None
    """None while the attempt is in flight."""

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have processed the attempt."""
        return self.outcome not in OUTCOMES_WITHOUT_RUN

    @property
    def cell(self) -> int:
        """The cell of the attempt's backend."""
        return self.backend_id % CELL_COUNT


@dataclass
class ObservedRequest:
    """A request, its attempts, and whether it has had its final response or lost its client."""

    request_class: str
    deadline: float
    is_finished: bool = False
    attempts: list[ObservedAttempt] = field(default_factory=list)

    def attempts_that_may_have_run(self) -> list[ObservedAttempt]:
        """Return the attempts that may have run, after which the request class restricts retries."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]


class AttemptId(NamedTuple):
    """Identifies an attempt that is in flight."""

    request_id: str
    number: int


class HardLimitBucket:
    """A token bucket for one gateway's share of the hard limit of the plan HARD_LIMITED."""

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.refilled_at = now

    def take(self, now: float) -> None:
        """Take the token of a forwarded request, and check that there was one."""
        burst = HARD_LIMITED.hard_limit_burst / GATEWAY_COUNT
        earned = (now - self.refilled_at) / 1000 * (HARD_LIMITED.hard_limit_rate / GATEWAY_COUNT)
        self.tokens = min(burst, self.tokens + earned) - 1
        self.refilled_at = now
        assert self.tokens >= -1e-6, "the gateway exceeded its share of the hard limit"


class SafetyChecker:
    """Applies random steps to a policy, and checks the safety rules at each of its actions."""

    def __init__(self, seed: int, *, hedging_allowed: bool) -> None:
        endpoints = [create_endpoint(number, cell=number % CELL_COUNT) for number in range(BACKEND_COUNT)]
        self.harness = PolicyHarness(endpoints, seed=seed, hedging_allowed=hedging_allowed)
        self.hedging_allowed = hedging_allowed
        self.requests: dict[str, ObservedRequest] = {}
        self.counter_calls: list[IncrementCounter] = []
        self.states = dict.fromkeys(range(BACKEND_COUNT), READY)
        self.last_ready_at = dict.fromkeys(range(BACKEND_COUNT), -math.inf)
        self.hard_limit = HardLimitBucket(self.harness.now)

    def check(self, actions: list[Action]) -> None:
        """Check actions that the policy has just returned."""
        for action in actions:
            match action:
                case StartAttempt():
                    self._check_attempt(action)
                case Reject() | Fail():
                    self._check_final_response(action)
                case CancelAttempt():
                    assert action.attempt_number < len(self.requests[action.request_id].attempts)
                case IncrementCounter():
                    self.counter_calls.append(action)

    def _check_attempt(self, action: StartAttempt) -> None:
        now = self.harness.now
        request = self.requests[action.request_id]
        attempt = ObservedAttempt(action.backend_id, now)
        assert not request.is_finished
        assert now <= request.deadline
        assert len(request.attempts) < MAX_ATTEMPTS
        assert self.hedging_allowed or all(earlier.outcome is not None for earlier in request.attempts)
        self._check_retry_safety(request, attempt)
        is_ready = self.states[action.backend_id] is READY
        grace_ms = SAFETY_RULES.drain_grace_ms
        assert is_ready or now - self.last_ready_at[action.backend_id] <= grace_ms
        if not request.attempts:
            self.hard_limit.take(now)
        request.attempts.append(attempt)

    @staticmethod
    def _check_retry_safety(request: ObservedRequest, attempt: ObservedAttempt) -> None:
        earlier_attempts = request.attempts_that_may_have_run()
        assert request.request_class != UNSAFE.name or not earlier_attempts
        if request.request_class == WITH_KEY.name:
            for earlier in earlier_attempts:
                assert earlier.cell == attempt.cell
                assert attempt.started_at - earlier.started_at <= WITH_KEY.deduplication_window_ms

    def _check_final_response(self, action: Reject | Fail) -> None:
        request = self.requests[action.request_id]
        assert not request.is_finished
        assert self.harness.now <= request.deadline + FINISH_TOLERANCE_MS
        is_safe_to_resend = (
            request.request_class == IDEMPOTENT.name or not request.attempts_that_may_have_run()
        )
        assert isinstance(action, Fail) or is_safe_to_resend
        request.is_finished = True

    def play(self, step: Step) -> None:
        """Apply one step, if it is possible now."""
        match step.kind:
            case StepKind.REQUEST:
                self._request(CLASS_NAMES[step.choice % 3], 500 + step.amount * 5)
            case StepKind.END_ATTEMPT:
                if in_flight := self._attempts_in_flight():
                    self._end_attempt(in_flight[step.amount % len(in_flight)], OUTCOMES[step.choice])
            case StepKind.PASS_TIME:
                self.pass_time(step.amount)
            case StepKind.CHANGE_ENDPOINT:
                self._change_endpoint(step)
            case StepKind.COUNTER_RESPONSE:
                if self.counter_calls:
                    call = self.counter_calls.pop(0)
                    total = step.amount / 10
                    self.check(self.harness.respond_to_counter(call, total, OUTCOMES[step.choice]))
            case StepKind.DISCONNECT:
                self._disconnect(step.amount)

    def pass_time(self, milliseconds: float) -> None:
        """Let time pass; attempts that are still in flight at the deadline of their request time out."""
        for _ in range(int(milliseconds // 50) + 1):
            self.check(self.harness.pass_time(50))
            for attempt in self._attempts_in_flight():
                if self.harness.now >= self.requests[attempt.request_id].deadline:
                    self._end_attempt(attempt, Outcome.TIMED_OUT)

    def _request(self, request_class: str, remaining_ms: float) -> None:
        request_id = self.harness.next_request_id
        self.requests[request_id] = ObservedRequest(request_class, self.harness.now + remaining_ms)
        self.check(self.harness.request(request_class, HARD_LIMITED.name, remaining_ms=remaining_ms))

    def _attempts_in_flight(self) -> list[AttemptId]:
        return [
            AttemptId(request_id, number)
            for request_id, request in self.requests.items()
            for number, attempt in enumerate(request.attempts)
            if attempt.outcome is None
        ]

    def _end_attempt(self, attempt: AttemptId, outcome: Outcome) -> None:
        request = self.requests[attempt.request_id]
        observed = request.attempts[attempt.number]
        observed.outcome = outcome
        if outcome is Outcome.OK:
            request.is_finished = True
        ended = AttemptEnded(
            request_id=attempt.request_id,
            attempt_number=attempt.number,
            backend_id=observed.backend_id,
            outcome=outcome,
            latency_ms=1,
            request_finished=request.is_finished,
        )
        self.check(self.harness.deliver(ended))

    def _change_endpoint(self, step: Step) -> None:
        now = self.harness.now
        state = STATES[step.choice % 3]
        backend_id = step.amount % BACKEND_COUNT
        if self.states[backend_id] is READY:
            self.last_ready_at[backend_id] = now
        self.states[backend_id] = state
        started_at = now - 100 if step.choice > 4 else 0.0
        endpoint = create_endpoint(backend_id, state, started_at=started_at, cell=backend_id % CELL_COUNT)
        self.check(self.harness.deliver(delta(endpoint)))

    def _disconnect(self, amount: int) -> None:
        in_flight = [
            request_id
            for request_id, request in self.requests.items()
            if request.attempts and not request.is_finished
        ]
        if not in_flight:
            return
        request_id = in_flight[amount % len(in_flight)]
        self.requests[request_id].is_finished = True
        self.check(self.harness.deliver(ClientDisconnected(request_id)))


@settings(max_examples=150)
@given(
    steps=STEPS,
    seed=st.integers(0, 2**31),
    hedging_allowed=st.booleans(),
    has_run_before=st.booleans(),
)
def test_the_five_safety_rules_hold(
    steps: list[Step], seed: int, hedging_allowed: bool, has_run_before: bool
) -> None:
    checker = SafetyChecker(seed, hedging_allowed=hedging_allowed)
    if has_run_before:
        checker.pass_time(400)

    for step in steps:
        checker.play(step)
    checker.pass_time(4000)

    for request_id, request in checker.requests.items():
        assert request.is_finished, f"{request_id} has had no final response"
    assert not checker.harness.policy.requests


def run_fixed_event_sequence(seed: int) -> list[TimedAction]:
    """Send 400 requests of all classes with various outcomes, and return all actions."""
    harness = PolicyHarness(seed=seed)
    for number in range(400):
        request_class = CLASS_NAMES[number % 3]
        plan = (BASIC.name, HARD_LIMITED.name)[number % 2]
        for action in harness.request(request_class, plan, customer=f"c{number % 17}"):
            if isinstance(action, StartAttempt) and number % 5:
                harness.end_attempt(action, OUTCOMES[number % 4])
            elif isinstance(action, IncrementCounter):
                harness.respond_to_counter(action, number / 100, OUTCOMES[number % 2 * 3])
        harness.pass_time(60)
    return harness.timed_actions


DIGEST_SCRIPT = """
import hashlib
from tests.policy.test_safety_rules import run_fixed_event_sequence
print(hashlib.sha256(repr(run_fixed_event_sequence(7)).encode()).hexdigest())
"""


def digest_with_hash_seed(hash_seed: str) -> str:
    """Return the digest of the actions of the fixed event sequence, run in a process with this hash seed."""
    root = Path(__file__).parents[2]
    process = subprocess.run(
        [sys.executable, "-c", DIGEST_SCRIPT],
        env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
        check=True,
    )
    return process.stdout


def test_the_same_events_give_the_same_actions() -> None:
    assert run_fixed_event_sequence(7) == run_fixed_event_sequence(7)


def test_the_same_events_give_the_same_actions_under_other_hash_seeds() -> None:
    digests = {digest_with_hash_seed(hash_seed) for hash_seed in ("1", "2", "77")}

    assert len(digests) == 1
