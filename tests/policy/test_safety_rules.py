"""Random legal event sequences: the safety rules hold, and the same events give the same actions."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.actions import Action, CancelAttempt, Fail, IncrementCounter, Reject, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    EndpointState,
    Outcome,
)
from tests.support.endpoints import create_endpoint, delta
from tests.support.policy_harness import PolicyHarness, TimedAction
from tests.support.policy_settings import FIRM, IDEMPOTENT, UNSAFE, WITH_KEY

NEVER_RAN = {Outcome.QUEUE_FULL, Outcome.CONNECT_ERROR, Outcome.NOT_STARTED}
OUTCOMES = list(Outcome)
STEPS = st.lists(
    st.tuples(st.sampled_from("rrrrroootlcx"), st.integers(0, 7), st.integers(0, 400)),
    min_size=20,
    max_size=150,
)


class Referee:
    """Keeps the rules' books from outside while a random history is played."""

    def __init__(self, seed: int, may_duplicate: bool, started: bool) -> None:
        self.world = PolicyHarness(
            [create_endpoint(i, cell=i % 2) for i in range(5)], seed=seed, hedging_allowed=may_duplicate
        )
        self.may_duplicate = may_duplicate
        self.asked: dict[str, tuple[str, float]] = {}
        self.final: set[str] = set()
        self.sent: dict[str, list[tuple[int, float, Outcome | None]]] = {}
        self.calls: list[IncrementCounter] = []
        self.states = dict.fromkeys(range(5), EndpointState.READY)
        self.told_at = dict.fromkeys(range(5), -1000000000.0)
        self.ceiling, self.ceiling_at = 0.0, self.world.now
        if started:
            self.step("t", 0, 400)

    def check(self, actions: list[Action]) -> None:
        now = self.world.now
        for action in actions:
            if isinstance(action, StartAttempt):
                name, expires = self.asked[action.request_id]
                tries = self.sent.setdefault(action.request_id, [])
                assert action.request_id not in self.final
                assert now <= expires
                assert len(tries) < 3
                assert self.may_duplicate or all(o is not None for _, _, o in tries)
                ran = [(b, t) for b, t, o in tries if o not in NEVER_RAN]
                assert name != "wipe" or not ran
                if name == "order":
                    assert all(
                        b % 2 == action.backend_id % 2 and now - t <= WITH_KEY.deduplication_window_ms
                        for b, t in ran
                    )
                ready = self.states[action.backend_id] is EndpointState.READY
                assert ready or now - self.told_at[action.backend_id] <= 1000
                if not tries:
                    self.ceiling = min(20.0, self.ceiling + (now - self.ceiling_at) / 1000 * 10) - 1
                    self.ceiling_at = now
                    assert self.ceiling >= -1e-6, "more than this gateway's part of the ceiling"
                tries.append((action.backend_id, now, None))
            elif isinstance(action, Reject | Fail):
                assert action.request_id not in self.final
                name, expires = self.asked[action.request_id]
                assert now <= expires + 8
                ran = [(b, t) for b, t, o in self.sent.get(action.request_id, []) if o not in NEVER_RAN]
                assert isinstance(action, Fail) or name == "view" or not ran
                self.final.add(action.request_id)
            elif isinstance(action, CancelAttempt):
                assert action.attempt_number < len(self.sent[action.request_id])
            elif isinstance(action, IncrementCounter):
                self.calls.append(action)

    def out(self) -> list[tuple[str, int]]:
        return [(r, i) for r, tries in self.sent.items() for i, t in enumerate(tries) if t[2] is None]

    def end(self, request: str, attempt: int, outcome: Outcome) -> None:
        backend, sent_at, _ = self.sent[request][attempt]
        self.sent[request][attempt] = (backend, sent_at, outcome)
        if outcome is Outcome.OK:
            self.final.add(request)
        finished = request in self.final
        self.check(self.world.deliver(AttemptEnded(request, attempt, backend, outcome, 1, finished)))

    def step(self, what: str, which: int, amount: int) -> None:
        world = self.world
        if what == "r":
            name = (IDEMPOTENT, WITH_KEY, UNSAFE)[which % 3].name
            self.asked[world.next_request_id] = (name, world.now + 500 + amount * 5)
            self.check(world.request(name, FIRM.name, remaining_ms=500 + amount * 5))
        elif what == "o" and (out := self.out()):
            self.end(*out[amount % len(out)], OUTCOMES[which])
        elif what == "t":
            self.pass_time(amount)
        elif what == "l":
            state = (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED)[which % 3]
            backend = amount % 5
            if self.states[backend] is EndpointState.READY:
                self.told_at[backend] = world.now
            self.states[backend] = state
            started = world.now - 100 if which > 4 else 0.0
            self.check(
                world.deliver(delta(create_endpoint(backend, state, started_at=started, cell=backend % 2)))
            )
        elif what == "c" and self.calls:
            call = self.calls.pop(0)
            self.check(world.deliver(CounterResponse(call.name, OUTCOMES[which], amount / 10)))
        elif what == "x" and (left := [r for r in self.sent if r not in self.final]):
            self.final.add(left[amount % len(left)])
            self.check(world.deliver(ClientDisconnected(left[amount % len(left)])))

    def pass_time(self, amount: float) -> None:
        for _ in range(int(amount // 50) + 1):
            self.check(self.world.pass_time(50))
            for request, attempt in self.out():
                if self.world.now >= self.asked[request][1]:
                    self.end(request, attempt, Outcome.TIMED_OUT)


@settings(max_examples=150)
@given(STEPS, st.integers(0, 2**31), st.booleans(), st.booleans())
def test_the_five_safety_rules_hold(
    steps: list[tuple[str, int, int]], seed: int, double: bool, started: bool
) -> None:
    referee = Referee(seed, double, started)
    for step in steps:
        referee.step(*step)
    referee.pass_time(4000)
    assert set(referee.asked) == referee.final, "every request has its one final response"
    assert not referee.world.policy.requests


def history(seed: int) -> list[TimedAction]:
    world = PolicyHarness(seed=seed)
    for i in range(400):
        for action in world.request(
            ("view", "order", "wipe")[i % 3], ("basic", "firm")[i % 2], customer=f"c{i % 17}"
        ):
            if isinstance(action, StartAttempt) and i % 5:
                world.end_attempt(action, OUTCOMES[i % 4])
            elif isinstance(action, IncrementCounter):
                world.deliver(CounterResponse(action.name, OUTCOMES[i % 2 * 3], i / 100))
        world.pass_time(60)
    return world.log


def test_the_same_events_give_the_same_actions_under_other_hash_seeds() -> None:
    root = Path(__file__).parents[2]
    code = (
        "import hashlib, tests.policy.test_safety_rules as t; "
        "print(hashlib.sha256(repr(t.history(7)).encode()).hexdigest())"
    )
    digests = set()
    for hash_seed in ("1", "2", "77"):
        path = str(root)
        env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        run = subprocess.run(
            [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
        )
        digests.add(run.stdout)
    assert len(digests) == 1
    assert history(7) == history(7)
