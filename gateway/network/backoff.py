"""How long a gateway waits before it asks a service again that has said that it is too busy.

One gateway that asks again each second is nothing; forty of them keep a narrow service so busy that it serves
none of them in time. The waits double, start from the size of the fleet and are spread by chance, so that the
calls of all gateways together thin out until the service keeps up. They are bounded: what the service learns
while a gateway waits counts as told to it `TOLD_S` later, heard or not.
"""

from __future__ import annotations

import random

TOLD_S = 6.0  # a change counts as told this long after discovery had it, whatever call had failed
LONGEST_S = 2.5  # of a wait: two of them, with a refusal between, leave time for the answers themselves
PLACE_S = 0.075  # of a first wait, for each gateway of the fleet: some twenty calls a second of all together
START_S = 0.1  # of the spread of the first calls of all, likewise
SPREAD = (0.5, 1.0)  # of a wait: those turned away together do not come back together


class Backoff:
    """The waits of one gateway, in seconds, none of them over `LONGEST_S` or the longest that is allowed."""

    def __init__(self, gateways: int, longest_s: float, chance: random.Random) -> None:
        self.start_s = min(START_S * gateways, longest_s / 2)
        self.longest, self.chance = min(LONGEST_S, longest_s), chance
        self.first = gateways * PLACE_S
        self.wait = self.first

    def start(self) -> float:
        """Before the first call of all, as the gateways of a fleet start together."""
        return self.chance.uniform(0.0, self.start_s)

    def next(self) -> float:
        wait = min(self.wait, self.longest) * self.chance.uniform(*SPREAD)
        self.wait = min(2 * self.wait, self.longest)
        return wait

    def served(self) -> None:
        self.wait = self.first
