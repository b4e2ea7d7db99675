"""Exponential backoff of a gateway whose calls an overloaded service rejects.

A fleet that retries at a fixed interval prolongs the overload. The delays therefore double, start in
proportion to the size of the fleet and carry jitter, so that the call rate of all gateways together falls
until the service recovers. They are capped: a change that the service receives while a gateway backs off
counts as notified `NOTIFICATION_BOUND_S` later, whether the gateway has received it or not.
"""

from __future__ import annotations

import random

NOTIFICATION_BOUND_S = 6.0
"""Seconds after which a change that discovery has counts as notified, whichever calls failed meanwhile."""

MAX_DELAY_S = 2.5
"""Longest delay, in seconds: two of them fit `NOTIFICATION_BOUND_S` with time for the responses."""

FIRST_DELAY_PER_GATEWAY_S = 0.075
"""First delay, in seconds for each gateway of the fleet: it bounds the rate of the first retries of all."""

INITIAL_SPREAD_PER_GATEWAY_S = 0.1
"""Interval over which the first calls of a fleet are spread, in seconds for each of its gateways."""

MIN_JITTER = 0.5
"""Least factor of jitter on a delay: gateways that were rejected together must not retry together."""

MAX_JITTER = 1.0
"""Greatest factor of jitter on a delay: `MAX_DELAY_S` stays the cap."""


class Backoff:
    """Exponential backoff with jitter, scaled to the size of the fleet; all delays are in seconds."""

    __slots__ = ("_delay_s", "_first_delay_s", "_initial_spread_s", "_max_delay_s", "_rng")

    def __init__(self, gateway_count: int, max_delay_s: float, rng: random.Random) -> None:
        """`max_delay_s` lowers the cap of `MAX_DELAY_S` where the list may be less stale than that."""
        self._initial_spread_s = min(INITIAL_SPREAD_PER_GATEWAY_S * gateway_count, max_delay_s / 2)
        self._max_delay_s = min(MAX_DELAY_S, max_delay_s)
        self._first_delay_s = gateway_count * FIRST_DELAY_PER_GATEWAY_S
        self._delay_s = self._first_delay_s
        self._rng = rng

    def initial_delay(self) -> float:
        """Return the delay before the first call, which spreads the calls of a fleet that starts together."""
        return self._rng.uniform(0.0, self._initial_spread_s)

    def next_delay(self) -> float:
        """Return the delay after one more rejection, and double the one after it."""
        delay_s = min(self._delay_s, self._max_delay_s) * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._delay_s = min(2 * self._delay_s, self._max_delay_s)
        return delay_s

    def reset(self) -> None:
        """Restart from the first delay: a call has been answered."""
        self._delay_s = self._first_delay_s
