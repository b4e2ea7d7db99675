"""The configuration of a run's gateways, in the format of the gateway's configuration file."""

from __future__ import annotations

import random
from typing import Any

LOOPBACK = "127.0.0.1"
"""Address of all sockets of a run."""

ZONES = ("a", "b", "c")
"""Zones that the backends and the gateways are spread over."""

DEADLINE_MS = 2_500
"""Milliseconds that a client waits for its response."""

REQUEST_CLASS_NAME = "lookup"
PLAN_NAME = "team"

GATEWAY_MEMORY_MB = 192
GATEWAY_SOCKETS = 1024
"""File descriptors that a gateway may use."""

REQUEST_CLASS = {
    "name": REQUEST_CLASS_NAME,
    "aim": 800.0,
    "deadline": float(DEADLINE_MS),
    "effect": "pure",
    "importance": 1.0,
}
"""The request class of all requests; they are idempotent."""

PLAN = {"name": PLAN_NAME, "rate": 5.0, "mostAtOnce": 10.0, "overrunCost": 1.0}
"""The plan of all customers.

The burst is leased if at most six gateways serve a customer, and shared if more do.
"""

CAPABILITIES = {
    "maxAttempts": 3,
    "cancelling": True,
    "retryAfter": True,
    "maxRetryAfter": 1_000.0,
    "connectTimeout": 250.0,
    "keepalive": 15_000.0,
    "maxOpen": 2_000,
}

SAFETY_RULES = {"warmWithin": 10_000.0, "startCapacity": 0.2, "drainGrace": 1_000.0, "fallMultiple": 2.0}

COUNTER_OPTIONS = {"mayCount": True, "countWait": 100.0, "unitsTop": 1}


def settings_document(index: int, gateways: int, **changes: Any) -> dict[str, Any]:
    """Return the settings document of gateway `index` of `gateways`; `changes` replace top-level keys."""
    document: dict[str, Any] = {
        "az": ZONES[index % len(ZONES)],
        "groupSize": gateways,
        "selfIndex": index,
        "caps": CAPABILITIES,
        "classes": [REQUEST_CLASS],
        "packages": [PLAN],
        "familyInfo": COUNTER_OPTIONS,
        "rules": SAFETY_RULES,
    }
    return document | changes


def gateway_config(
    index: int, gateways: int, *, discovery_port: int, counter_port: int, seed: int
) -> dict[str, Any]:
    """Return the configuration of gateway `index` of `gateways`, which listens on a free port."""
    return {
        "name": f"n{index}",
        "listen": f"{LOOPBACK}:0",
        "discovery": f"{LOOPBACK}:{discovery_port}",
        "counter": f"{LOOPBACK}:{counter_port}",
        "seed": f"{random.Random(f'{seed}:{index}').getrandbits(63):x}",
        "limits": {"cores": 1.0, "memory_mb": GATEWAY_MEMORY_MB, "sockets": GATEWAY_SOCKETS},
        "settings": settings_document(index, gateways),
    }
