"""Request classes, plans and the other settings that tests give a policy."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gateway.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, SafetyRules, Settings

IDEMPOTENT = RequestClass(
    "view", latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, idempotency=Idempotency.IDEMPOTENT
)
WITH_KEY = RequestClass(
    "order",
    latency_objective_ms=1000,
    deadline_ms=3000,
    priority_weight=4,
    idempotency=Idempotency.WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_ms=2000,
)
UNSAFE = RequestClass(
    "wipe", latency_objective_ms=1000, deadline_ms=3000, priority_weight=2, idempotency=Idempotency.UNSAFE
)

BASIC = Plan("basic", rate=2, burst=8, over_quota_cost=1)
HARD_LIMITED = Plan(
    "firm", rate=10, burst=20, concurrency_limit=8, over_quota_cost=1, hard_limit_rate=20, hard_limit_burst=40
)
"""A plan with a hard limit and a concurrency limit."""
WITH_OVER_QUOTA_REVENUE = Plan("bonus", rate=1, burst=2, over_quota_revenue=0.2)
"""A plan whose requests beyond the quota earn revenue and have no cost."""
UNLIMITED = Plan("basic")
"""A plan without a quota; it has the name of `BASIC`, the default plan of requests, and replaces it."""

SAFETY_RULES = SafetyRules(
    drain_grace_ms=1000, initial_capacity=0.2, slow_start_ms=10_000, overload_multiple=2
)

DEFAULT_SETTINGS = Settings(
    gateway_index=0,
    gateway_count=2,
    zone="a",
    request_classes=(IDEMPOTENT, WITH_KEY, UNSAFE),
    plans=(BASIC, HARD_LIMITED, WITH_OVER_QUOTA_REVENUE),
    safety_rules=SAFETY_RULES,
    max_attempts=3,
    cancellation_supported=True,
    counter_available=True,
    max_retry_after_ms=500.0,
    counter_timeout_ms=50.0,
)


def settings(**changes: Any) -> Settings:
    """Return the default settings with some of their fields changed."""
    return replace(DEFAULT_SETTINGS, **changes)
