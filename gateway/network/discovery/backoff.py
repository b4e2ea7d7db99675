"""Exponential backoff for a gateway whose calls are rejected by an overloaded service.

A fleet that retries at a fixed interval would prolong the overload. Delays therefore double after each
rejection, start in proportion to the size of the fleet and have jitter: the call rate of the whole fleet
falls until the service recovers. Delays are capped, because even a gateway that backs off is expected to know
a change of the endpoint list `NOTIFICATION_BOUND_S` after the service has received it.
"""

from __future__ import annotations

import random

NOTIFICATION_BOUND_S = 6.0
"""Time, in seconds, after which a gateway is expected to know a change of the endpoint list, even if calls to
discovery failed."""

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
        """Create a backoff.

        `max_delay_s` is the maximum age of the endpoint list; it caps the delays if below `MAX_DELAY_S`.
        """
        self._initial_spread_s = min(INITIAL_SPREAD_PER_GATEWAY_S * gateway_count, max_delay_s / 2)
        self._max_delay_s = min(MAX_DELAY_S, max_delay_s)
        self._first_delay_s = gateway_count * FIRST_DELAY_PER_GATEWAY_S
        self._delay_s = self._first_delay_s
        self._rng = rng

    def initial_delay(self) -> float:
        """Return a random delay before the first call, which spreads the calls of a starting fleet."""
        return self._rng.uniform(0.0, self._initial_spread_s)

    def next_delay(self) -> float:
        """Return the delay after a rejection, and double the delay after the next one."""
        delay_s = min(self._delay_s, self._max_delay_s) * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._delay_s = min(2 * self._delay_s, self._max_delay_s)
        return delay_s

    def reset(self) -> None:
        """Restart from the first delay, after a call has been answered."""
        self._delay_s = self._first_delay_s
