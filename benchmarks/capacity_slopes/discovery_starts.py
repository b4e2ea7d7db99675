"""Scenario `starts`: the calls that a polled discovery gets when all gateways start together."""

from __future__ import annotations

import heapq
import math
import random
import statistics
from collections import Counter

from gateway.network.discovery.backoff import Backoff

from .tables import print_header, print_row

GATEWAY_COUNTS = (40, 200, 3_700)

SERVED_PER_SECOND = 50
"""Maximum number of calls that discovery serves in a second; it rejects the others."""

MAX_LIST_AGE_S = 10.0
"""Age of an endpoint list at which a gateway polls again."""

SIMULATED_S = 600.0
"""Virtual duration of each simulated case."""

MAX_JITTER_S = 0.01
"""Maximum random time that is added to each backoff delay, so that no two calls coincide."""


def run() -> None:
    """Print a table with a row for each number of gateways."""
    print("Discovery calls when all gateways start together; 50 calls/s are served, poll interval 10 s")
    print_header(
        "gateways",
        "calls in the busiest second",
        "rejected",
        "until half have the list, s",
        "until all have the list, s",
    )
    for gateways in GATEWAY_COUNTS:
        print_row(gateways, *measure_start(gateways))


def measure_start(gateways: int) -> tuple[object, ...]:
    """Simulate that `gateways` gateways start together.

    Return the calls in the busiest second, the rejected calls, and the seconds until half of the gateways and
    until all of them have the list.
    """
    rng = random.Random(1)
    backoffs = [Backoff(gateways, MAX_LIST_AGE_S, random.Random(index)) for index in range(gateways)]
    queue = [(backoff.initial_delay(), index) for index, backoff in enumerate(backoffs)]
    heapq.heapify(queue)
    calls_by_second: Counter[int] = Counter()
    served_by_second: Counter[int] = Counter()
    served_at: list[float] = []
    while queue and queue[0][0] < SIMULATED_S:
        now, index = heapq.heappop(queue)
        second = int(now)
        calls_by_second[second] += 1
        if served_by_second[second] < SERVED_PER_SECOND:
            served_by_second[second] += 1
            served_at.append(now)
        else:
            retry_at = now + backoffs[index].next_delay() + rng.random() * MAX_JITTER_S
            heapq.heappush(queue, (retry_at, index))
    rejected = sum(calls_by_second.values()) - len(served_at)
    all_served_at = max(served_at) if len(served_at) == gateways else math.inf
    return max(calls_by_second.values()), rejected, statistics.median(served_at), all_served_at
