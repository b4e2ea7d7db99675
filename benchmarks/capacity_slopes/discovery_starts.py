"""Scenario `starts`: calls that discovery gets as all gateways start together, where it is polled."""

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
"""Calls that discovery serves; it rejects the others."""

MAX_LIST_AGE_S = 10.0
"""How old a list may be before it is polled for again."""

RUN_S = 600.0
"""Virtual time of a case."""

MAX_JITTER_S = 0.01
"""Added to each wait: no two calls come at once."""


def run() -> None:
    """Print a row for each size of the fleet."""
    print("Calls of discovery at a start of all, 50 a second served, the list may be 10 s old")
    print_header(
        "gateways",
        "calls in the worst second",
        "turned away",
        "until half have it, s",
        "until all have it, s",
    )
    for gateways in GATEWAY_COUNTS:
        print_row(gateways, *measure(gateways))


def measure(gateways: int) -> tuple[object, ...]:
    """Return the calls of the worst second, those rejected, and when half and all have the list."""
    rng = random.Random(1)
    backoffs = [Backoff(gateways, MAX_LIST_AGE_S, random.Random(index)) for index in range(gateways)]
    queue = [(backoff.initial_delay(), index) for index, backoff in enumerate(backoffs)]
    heapq.heapify(queue)
    calls: Counter[int] = Counter()
    served: Counter[int] = Counter()
    served_at: list[float] = []
    while queue and queue[0][0] < RUN_S:
        now, index = heapq.heappop(queue)
        second = int(now)
        calls[second] += 1
        if served[second] < SERVED_PER_SECOND:
            served[second] += 1
            served_at.append(now)
        else:
            retry_at = now + backoffs[index].next_delay() + rng.random() * MAX_JITTER_S
            heapq.heappush(queue, (retry_at, index))
    rejected = sum(calls.values()) - len(served_at)
    all_served_at = max(served_at) if len(served_at) == gateways else math.inf
    return max(calls.values()), rejected, statistics.median(served_at), all_served_at
