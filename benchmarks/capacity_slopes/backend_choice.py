"""Scenario `pick`: the processor time of a backend choice and of a request, by the size of the subset.

A request's time includes the handling of all its events.
"""

from __future__ import annotations

import random
from collections import deque
from functools import partial

from gateway.policy.actions import StartAttempt
from gateway.policy.events import AttemptEnded, Event, Outcome, RequestArrived

from .measurement import min_cpu_us
from .policies import DEADLINE_MS, REQUEST_CLASS, START_MS, make_policy, make_settings
from .policy_internals import choose_backends
from .tables import print_header, print_row

SUBSET_SIZES = (8, 12, 38, 76, 152)
FAILURE_RATES = (0.0, 0.05)

REQUEST_RATE = 270
"""Requests per second of virtual time that the gateway gets."""

ATTEMPTS_IN_FLIGHT = 20
"""Number of attempts that are kept in flight."""

ATTEMPT_LATENCY_MS = 75.0

WARM_UP_REQUESTS = 2_000
TIMED_REQUESTS = 1_000


OpenAttempt = tuple[str, int, int]
"""Request id, number and backend id of an attempt; a plain tuple, to add little to the measured time."""


class BusyGateway:
    """A gateway under load, whose subset is its whole endpoint list."""

    def __init__(self, backends: int, failure_rate: float) -> None:
        self.policy = make_policy(make_settings(), backends=backends)
        self._now = START_MS
        self._open_attempts: deque[OpenAttempt] = deque()
        self._failure_rate = failure_rate
        self._rng = random.Random(1)

    def serve(self, requests: int) -> None:
        """Send `requests` requests; after each, end the oldest attempts beyond `ATTEMPTS_IN_FLIGHT`."""
        for _ in range(requests):
            self._now += 1000 / REQUEST_RATE
            request_id = f"{int(self._now * 10):016x}"
            # Keyword arguments or a call of `arrival_event` would add to the measured time.
            arrived = RequestArrived(
                request_id, REQUEST_CLASS, "free", "c", self._now + DEADLINE_MS, 1.0, 1, 0
            )
            self._deliver(arrived, 0)
            while len(self._open_attempts) > ATTEMPTS_IN_FLIGHT:
                oldest_id, number, backend_id = self._open_attempts.popleft()
                is_ok = self._rng.random() >= self._failure_rate
                outcome = Outcome.OK if is_ok else Outcome.FAILED
                ended = AttemptEnded(oldest_id, number, backend_id, outcome, ATTEMPT_LATENCY_MS, is_ok)
                self._deliver(ended, number + 1)

    def _deliver(self, event: Event, attempt_number: int) -> None:
        for action in self.policy.handle(self._now, event):
            if isinstance(action, StartAttempt):
                self._open_attempts.append((action.request_id, attempt_number, action.backend_id))

    def choose(self, count: int) -> None:
        """Choose a backend `count` times."""
        choose_backends(self.policy, self._now, count)


def run() -> None:
    """Print a table with a row for each subset size and failure rate."""
    print(
        f"A choice and a request, by the size of a gateway's subset; {ATTEMPTS_IN_FLIGHT} attempts in flight"
    )
    print_header("backends in the subset", "failure rate", "us per choice", "us per request")
    for size in SUBSET_SIZES:
        for failure_rate in FAILURE_RATES:
            gateway = BusyGateway(size, failure_rate)
            gateway.serve(WARM_UP_REQUESTS)
            request_us = min_cpu_us(partial(gateway.serve, TIMED_REQUESTS)) / TIMED_REQUESTS
            choice_us = min_cpu_us(partial(gateway.choose, TIMED_REQUESTS)) / TIMED_REQUESTS
            print_row(size, failure_rate, choice_us, request_us)
