"""How long a gateway waits before it asks a service again that has said that it is too busy.

One gateway that asks again each second is nothing; forty of them keep a narrow service so busy that it serves
none of them in time. The waits double, start from the size of the fleet and are spread by chance, so that the
calls of all gateways together thin out until the service keeps up.
"""

from __future__ import annotations

import random

PLACE_S = 0.05  # of a first wait, for each gateway of the fleet: twenty calls a second of all together
SPREAD = (0.5, 1.5)  # of a wait: those turned away together do not come back together


class Backoff:
    def __init__(self, gateways: int, longest_s: float, chance: random.Random) -> None:
        self.first, self.longest, self.chance = gateways * PLACE_S, longest_s, chance
        self.wait = self.first

    def start(self) -> float:
        """Before the first call of all, as the gateways of a fleet start together."""
        return self.chance.uniform(0.0, min(2 * self.first, self.longest / 2))

    def next(self) -> float:
        wait = min(self.wait, self.longest) * self.chance.uniform(*SPREAD)
        self.wait = min(2 * self.wait, self.longest)
        return wait

    def served(self) -> None:
        self.wait = self.first
