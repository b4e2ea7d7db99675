"""What the gateways of a run are told, and the customers that come to them."""

from __future__ import annotations

import random
from typing import Any

LOCAL = "127.0.0.1"
ZONES = ("a", "b", "c")
DEADLINE_MS = 2_500
CLASS, PLAN = "lookup", "team"
MEMORY_MB, SOCKETS = 192, 1024


def gateway_settings(index: int, gateways: int) -> dict[str, Any]:
    """The settings of gateway `index` in a fleet of `gateways`, in the form of the program's configuration.

    The plan's burst is a lease where a customer is spread over six gateways or fewer, and a bucket that all
    share over more.
    """
    return {
        "az": ZONES[index % len(ZONES)],
        "groupSize": gateways,
        "selfIndex": index,
        "caps": {
            "maxAttempts": 3,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfter": 1_000.0,
            "connectTimeout": 250.0,
            "keepalive": 15_000.0,
            "maxOpen": 2_000,
        },
        "classes": [
            {"name": CLASS, "aim": 800.0, "deadline": float(DEADLINE_MS), "effect": "pure", "importance": 1.0}
        ],
        "packages": [{"name": PLAN, "rate": 5.0, "mostAtOnce": 10.0, "overrunCost": 1.0}],
        "familyInfo": {"mayCount": True, "countWait": 100.0, "unitsTop": 1},
        "rules": {"warmWithin": 10_000.0, "startCapacity": 0.2, "drainGrace": 1_000.0, "fallMultiple": 2.0},
    }


def gateway_config(index: int, gateways: int, discovery: int, counter: int, seed: int) -> dict[str, Any]:
    """The configuration of one gateway; it listens on a free port. `discovery` and `counter` are ports."""
    return {
        "name": f"n{index}",
        "listen": f"{LOCAL}:0",
        "discovery": f"{LOCAL}:{discovery}",
        "counter": f"{LOCAL}:{counter}",
        "seed": f"{random.Random(f'{seed}:{index}').getrandbits(63):x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": gateway_settings(index, gateways),
    }


class Customers:
    """The customers of a fleet: each is served by `spread` gateways in a row, numbered round."""

    def __init__(self, customers: int, gateways: int, spread: int, seed: int, base: int = 0) -> None:
        """`base` is added to the customers' numbers, to keep them apart from others'."""
        self.base = base
        self.customers, self.gateways, self.spread = customers, gateways, min(spread, gateways)
        self.chance = random.Random(seed)

    def pick(self, gateway: int) -> tuple[int, int]:
        """A customer that has `gateway` in its set, and the first gateway of that set."""
        number = 0
        first = (gateway - self.chance.randrange(self.spread)) % self.gateways
        here = self.customers // self.gateways + (first < self.customers % self.gateways)
        if here:
            number = self.gateways * self.chance.randrange(here)
        return self.base + number + first, first
