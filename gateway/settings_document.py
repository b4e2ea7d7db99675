"""Reads the settings object that the platform gives to a gateway, and the simulator to an instance.

Both give the same JSON object, in the words of the platform's pages. They are translated here and
nowhere else.
"""

from __future__ import annotations

from typing import Any, TypeVar

from .policy.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    SafetyRules,
    Settings,
)

Term = TypeVar("Term")

IDEMPOTENCY_BY_EFFECT = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.WITH_KEY,
    "side_effect": Idempotency.UNSAFE,
}
DEDUPLICATION_SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def parse_settings(document: dict[str, Any]) -> Settings:
    """The typed settings of a decoded document.

    Raises KeyError, TypeError, ValueError or AttributeError where a required key is missing or a value has
    the wrong type.
    """
    capabilities = document.get("caps") or {}
    counter = document.get("familyInfo") or {}
    retry_after_supported = capabilities.get("retryAfter", True)
    return Settings(
        gateway_index=int(document.get("selfIndex") or 0),
        gateway_count=int(document.get("groupSize") or 1),
        zone=str(document.get("az") or ""),
        request_classes=tuple(parse_request_class(entry) for entry in document.get("classes") or ()),
        plans=tuple(parse_plan(entry) for entry in document.get("packages") or ()),
        safety_rules=parse_safety_rules(document.get("rules") or {}),
        max_attempts=int(capabilities.get("maxAttempts") or 1),
        hedging_allowed=bool(capabilities.get("mayDuplicate")),
        cancellation_supported=bool(capabilities.get("cancelling")),
        counter_available=bool(counter.get("mayCount")),
        polls_endpoints=document.get("discovery") == "ask",
        max_retry_after_ms=float(capabilities.get("maxRetryAfter") or 0) if retry_after_supported else 0.0,
        counter_timeout_ms=float(counter.get("countWait") or 0),
        max_request_cost=float(counter.get("unitsTop") or 1),
    )


def parse_request_class(entry: dict[str, Any]) -> RequestClass:
    """One entry of the document's `classes`."""
    return RequestClass(
        name=str(entry["name"]),
        latency_objective_ms=float(entry.get("aim") or entry["deadline"]),
        deadline_ms=float(entry["deadline"]),
        priority_weight=float(entry.get("importance") or 0),
        idempotency=_translate(IDEMPOTENCY_BY_EFFECT, entry["effect"], "effect"),
        deduplication_scope=_translate(DEDUPLICATION_SCOPE_BY_GROUP, entry.get("group") or "all", "group"),
        deduplication_window_ms=float(entry.get("repeatWindow") or 0),
    )


def parse_plan(entry: dict[str, Any]) -> Plan:
    """One entry of the document's `packages`."""
    return Plan(
        name=str(entry["name"]),
        rate=float(entry.get("rate") or 0),
        burst=float(entry.get("mostAtOnce") or 0),
        concurrency_limit=int(entry.get("open") or 0),
        over_quota_revenue=float(entry.get("beyondEarns") or 0),
        over_quota_cost=float(entry.get("overrunCost") or 0),
        hard_limit_rate=float(entry.get("neverOverRate") or 0),
        hard_limit_burst=float(entry.get("hardBurst") or 0),
    )


def parse_safety_rules(entry: dict[str, Any]) -> SafetyRules:
    """The document's `rules`."""
    return SafetyRules(
        drain_grace_ms=float(entry.get("drainGrace") or 0),
        initial_capacity=float(entry.get("startCapacity") or 0),
        slow_start_ms=float(entry.get("warmWithin") or 0),
        overload_multiple=float(entry.get("fallMultiple") or 0),
    )


def _translate(terms: dict[str, Term], word: Any, key: str) -> Term:
    if word not in terms:
        raise ValueError(f"{word!r} is not a valid {key}")
    return terms[word]
