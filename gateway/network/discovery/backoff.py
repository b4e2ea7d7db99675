"""Backoff of a gateway whose calls a busy service rejects.

One gateway that polls again each second is nothing; forty of them keep a service of little capacity so busy
that it answers none of them in time. The delays therefore double, start from the size of the fleet and carry
jitter, so that the calls of all gateways together thin out until the service keeps up. They are capped: a
change that the service learns while a gateway waits counts as notified `NOTIFICATION_BOUND_S` later, heard or
not.
"""

from __future__ import annotations

import random

NOTIFICATION_BOUND_S = 6.0
"""A change counts as notified this many seconds after discovery had it, whichever call failed in between."""

MAX_DELAY_S = 2.5
"""Longest delay, in seconds: two of them, with a rejection between, leave time for the answers themselves."""

DELAY_PER_GATEWAY_S = 0.075
"""First delay, in seconds for each gateway of the fleet: some twenty calls a second of all together."""

INITIAL_SPREAD_PER_GATEWAY_S = 0.1
"""Span of the very first calls of a fleet that starts together, in seconds for each of its gateways."""

MIN_JITTER = 0.5
"""Least fraction of a delay that is waited: gateways that were rejected together do not return together."""

MAX_JITTER = 1.0
"""Greatest fraction of a delay that is waited, so that `MAX_DELAY_S` stays the cap."""


class Backoff:
    """Exponential backoff with jitter, scaled to the size of the fleet; all delays are in seconds."""

    __slots__ = ("_delay_s", "_first_delay_s", "_initial_spread_s", "_max_delay_s", "_rng")

    def __init__(self, gateway_count: int, max_delay_s: float, rng: random.Random) -> None:
        """`max_delay_s` lowers the cap of `MAX_DELAY_S` where the list may not grow that old."""
        self._initial_spread_s = min(INITIAL_SPREAD_PER_GATEWAY_S * gateway_count, max_delay_s / 2)
        self._max_delay_s = min(MAX_DELAY_S, max_delay_s)
        self._first_delay_s = gateway_count * DELAY_PER_GATEWAY_S
        self._delay_s = self._first_delay_s
        self._rng = rng

    def initial_delay(self) -> float:
        """Return the delay before the very first call, which spreads a fleet that starts together."""
        return self._rng.uniform(0.0, self._initial_spread_s)

    def next_delay(self) -> float:
        """Return the delay after one more rejection, and double the one after it."""
        delay_s = min(self._delay_s, self._max_delay_s) * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._delay_s = min(2 * self._delay_s, self._max_delay_s)
        return delay_s

    def reset(self) -> None:
        """Start from the first delay again: a call has been answered."""
        self._delay_s = self._first_delay_s
