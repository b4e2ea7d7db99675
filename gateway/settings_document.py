"""The settings object, which a gateway gets from the platform and a simulated instance from the simulator.

Both use the same JSON format. This module maps its keys and values to the names that the gateway uses.
"""

from __future__ import annotations

from typing import Any, TypeVar

from .errors import GatewayError
from .policy.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    SafetyRules,
    Settings,
)

Choice = TypeVar("Choice")

# Top-level keys of the settings object.
GATEWAY_INDEX = "selfIndex"
GATEWAY_COUNT = "groupSize"
ZONE = "az"
ENDPOINT_SOURCE = "discovery"
REQUEST_CLASSES = "classes"
PLANS = "packages"
SAFETY_RULES = "rules"
CAPABILITIES = "caps"
COUNTER = "familyInfo"

# Key of both request classes and plans.
NAME = "name"

# Keys of a request class.
LATENCY_OBJECTIVE_MS = "aim"
DEADLINE_MS = "deadline"
PRIORITY_WEIGHT = "importance"
IDEMPOTENCY = "effect"
DEDUPLICATION_SCOPE = "group"
DEDUPLICATION_WINDOW_MS = "repeatWindow"

# Keys of a plan.
RATE = "rate"
BURST = "mostAtOnce"
CONCURRENCY_LIMIT = "open"
OVER_QUOTA_REVENUE = "beyondEarns"
OVER_QUOTA_COST = "overrunCost"
HARD_LIMIT_RATE = "neverOverRate"
HARD_LIMIT_BURST = "hardBurst"

# Keys of the `rules` object.
DRAIN_GRACE_MS = "drainGrace"
INITIAL_CAPACITY = "startCapacity"
SLOW_START_MS = "warmWithin"
OVERLOAD_MULTIPLE = "fallMultiple"

# Keys of the `caps` object.
MAX_ATTEMPTS = "maxAttempts"
HEDGING_ALLOWED = "mayDuplicate"
CANCELLATION_SUPPORTED = "cancelling"
RETRY_AFTER_SUPPORTED = "retryAfter"
MAX_RETRY_AFTER_MS = "maxRetryAfter"

# Keys of the `familyInfo` object, the settings of the counter.
COUNTER_AVAILABLE = "mayCount"
COUNTER_TIMEOUT_MS = "countWait"
MAX_REQUEST_COST = "unitsTop"

POLLED_SOURCE = "ask"
"""Value of the endpoint source for an endpoint list that has to be polled."""

SCOPE_ALL = "all"
"""Deduplication scope that covers all backends; the default."""

IDEMPOTENCY_BY_VALUE = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.WITH_KEY,
    "side_effect": Idempotency.UNSAFE,
}
DEDUPLICATION_SCOPE_BY_VALUE = {
    SCOPE_ALL: DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class SettingsError(GatewayError, ValueError):
    """Raised if a value in the settings is not one of the defined choices.

    It is also a ValueError, which the gateway process and the simulator adapter catch for every value that
    cannot be converted.
    """


def parse_settings(document: dict[str, Any]) -> Settings:
    """Parse a decoded settings object.

    Raises:
        SettingsError: a value is not one of the defined choices.
        KeyError, TypeError, ValueError, AttributeError: a required key is missing, or a value has the wrong
            type.
    """
    capabilities = document.get(CAPABILITIES) or {}
    counter = document.get(COUNTER) or {}
    retry_after_supported = capabilities.get(RETRY_AFTER_SUPPORTED, True)
    return Settings(
        gateway_index=int(document.get(GATEWAY_INDEX) or 0),
        gateway_count=int(document.get(GATEWAY_COUNT) or 1),
        zone=str(document.get(ZONE) or ""),
        request_classes=tuple(parse_request_class(entry) for entry in document.get(REQUEST_CLASSES) or ()),
        plans=tuple(parse_plan(entry) for entry in document.get(PLANS) or ()),
        safety_rules=parse_safety_rules(document.get(SAFETY_RULES) or {}),
        max_attempts=int(capabilities.get(MAX_ATTEMPTS) or 1),
        hedging_allowed=bool(capabilities.get(HEDGING_ALLOWED)),
        cancellation_supported=bool(capabilities.get(CANCELLATION_SUPPORTED)),
        counter_available=bool(counter.get(COUNTER_AVAILABLE)),
        polls_endpoints=document.get(ENDPOINT_SOURCE) == POLLED_SOURCE,
        max_retry_after_ms=float(capabilities.get(MAX_RETRY_AFTER_MS) or 0) if retry_after_supported else 0.0,
        counter_timeout_ms=float(counter.get(COUNTER_TIMEOUT_MS) or 0),
        max_request_cost=float(counter.get(MAX_REQUEST_COST) or 1),
    )


def parse_request_class(entry: dict[str, Any]) -> RequestClass:
    """Parse the settings of one request class."""
    return RequestClass(
        name=str(entry[NAME]),
        latency_objective_ms=float(entry.get(LATENCY_OBJECTIVE_MS) or entry[DEADLINE_MS]),
        deadline_ms=float(entry[DEADLINE_MS]),
        priority_weight=float(entry.get(PRIORITY_WEIGHT) or 0),
        idempotency=_parse_choice(IDEMPOTENCY_BY_VALUE, entry[IDEMPOTENCY], IDEMPOTENCY),
        deduplication_scope=_parse_choice(
            DEDUPLICATION_SCOPE_BY_VALUE, entry.get(DEDUPLICATION_SCOPE) or SCOPE_ALL, DEDUPLICATION_SCOPE
        ),
        deduplication_window_ms=float(entry.get(DEDUPLICATION_WINDOW_MS) or 0),
    )


def parse_plan(entry: dict[str, Any]) -> Plan:
    """Parse the settings of one plan."""
    return Plan(
        name=str(entry[NAME]),
        rate=float(entry.get(RATE) or 0),
        burst=float(entry.get(BURST) or 0),
        concurrency_limit=int(entry.get(CONCURRENCY_LIMIT) or 0),
        over_quota_revenue=float(entry.get(OVER_QUOTA_REVENUE) or 0),
        over_quota_cost=float(entry.get(OVER_QUOTA_COST) or 0),
        hard_limit_rate=float(entry.get(HARD_LIMIT_RATE) or 0),
        hard_limit_burst=float(entry.get(HARD_LIMIT_BURST) or 0),
    )


def parse_safety_rules(entry: dict[str, Any]) -> SafetyRules:
    """Parse the safety rules."""
    return SafetyRules(
        drain_grace_ms=float(entry.get(DRAIN_GRACE_MS) or 0),
        initial_capacity=float(entry.get(INITIAL_CAPACITY) or 0),
        slow_start_ms=float(entry.get(SLOW_START_MS) or 0),
        overload_multiple=float(entry.get(OVERLOAD_MULTIPLE) or 0),
    )


def _parse_choice(choices: dict[str, Choice], value: Any, key: str) -> Choice:
    if value not in choices:
        expected = ", ".join(map(repr, choices))
        raise SettingsError(f"reading the settings: expected one of {expected} for {key!r}, got {value!r}")
    return choices[value]
