"""Exponential backoff for a gateway whose calls are rejected by an overloaded service.

A fleet that retries at a fixed interval would prolong the overload. So delays double, start in proportion to
the size of the fleet and carry jitter: the call rate of all gateways together falls until the service
recovers. Delays are capped, because a change that the service receives while a gateway backs off counts as
notified `NOTIFICATION_BOUND_S` later, whether the gateway has received it or not.
"""

from __future__ import annotations

import random

NOTIFICATION_BOUND_S = 6.0
"""Time, in seconds, after which a change in discovery counts as notified, even if calls have failed."""

MAX_DELAY_S = 2.5
"""Maximum delay, in seconds: two delays and the responses after them fit into `NOTIFICATION_BOUND_S`."""

FIRST_DELAY_PER_GATEWAY_S = 0.075
"""First delay, in seconds per gateway of the fleet; it bounds the rate of the fleet's first retries."""

INITIAL_SPREAD_PER_GATEWAY_S = 0.1
"""Interval over which the first calls of a fleet are spread, in seconds per gateway of the fleet."""

MIN_JITTER = 0.5
"""Minimum jitter factor of a delay: gateways that were rejected together must not retry together."""

MAX_JITTER = 1.0
"""Maximum jitter factor of a delay: jitter must not raise a delay above `MAX_DELAY_S`."""


class Backoff:
    """Exponential backoff with jitter, scaled to the size of the fleet; all delays are in seconds."""

    __slots__ = ("_delay_s", "_first_delay_s", "_initial_spread_s", "_max_delay_s", "_rng")

    def __init__(self, gateway_count: int, max_delay_s: float, rng: random.Random) -> None:
        """Create a backoff; `max_delay_s` lowers the cap `MAX_DELAY_S` if the list may not grow that old."""
        self._initial_spread_s = min(INITIAL_SPREAD_PER_GATEWAY_S * gateway_count, max_delay_s / 2)
        self._max_delay_s = min(MAX_DELAY_S, max_delay_s)
        self._first_delay_s = gateway_count * FIRST_DELAY_PER_GATEWAY_S
        self._delay_s = self._first_delay_s
        self._rng = rng

    def initial_delay(self) -> float:
        """Return a random delay before the first call, which spreads the calls of a starting fleet."""
        return self._rng.uniform(0.0, self._initial_spread_s)

    def next_delay(self) -> float:
        """Return the delay after another rejection, and double the one for the next rejection."""
        delay_s = min(self._delay_s, self._max_delay_s) * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._delay_s = min(2 * self._delay_s, self._max_delay_s)
        return delay_s

    def reset(self) -> None:
        """Restart from the first delay, as a call has been answered."""
        self._delay_s = self._first_delay_s
