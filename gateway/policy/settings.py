"""The policy's settings: request classes, plans, safety rules and what the deployment allows.

All times are milliseconds; all rates are per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """Whether the requests of a class may run more than once."""

    IDEMPOTENT = auto()
    """Running a request again has no further effect: it may be retried and hedged freely."""
    WITH_KEY = auto()
    """A request carries an idempotency key: backends drop a repeat within the deduplication window."""
    UNSAFE = auto()
    """A request must not run twice: it is not sent again once it may have run."""


class DeduplicationScope(Enum):
    """The backends that recognise a repeat of an idempotency key which any one of them has received."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its priority, latency objective and idempotency."""

    name: str
    latency_objective_ms: float
    """Time within which a response is useful; a later response has no value to the client."""
    deadline_ms: float
    """Usual time from the arrival of a request to its deadline."""
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota for each customer, over all gateways together; a limit of 0 means no limit."""

    name: str
    rate: float = 0.0
    """Cost units per second."""
    burst: float = 0.0
    """Maximum number of cost units in the customer's token bucket."""
    concurrency_limit: int = 0
    """Maximum number of attempts in flight."""
    over_quota_revenue: float = 0.0
    """Revenue from a request that is served beyond the quota, as a fraction of its priority weight."""
    over_quota_cost: float = 0.0
    """Cost of forwarding a request beyond the quota, as a fraction of its priority weight."""
    hard_limit_rate: float = 0.0
    """Cost units per second that must never be exceeded."""
    hard_limit_burst: float = 0.0

    @property
    def is_over_quota_free(self) -> bool:
        """Whether forwarding a request beyond the quota costs no more than its revenue."""
        return self.over_quota_cost <= self.over_quota_revenue


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """Limits that protect backends."""

    drain_grace_ms: float
    """Time after the notification of a drain during which the backend may still get new requests."""
    initial_capacity: float
    """Fraction of its full capacity that a backend has when it starts."""
    slow_start_ms: float
    """Time from the start of a backend until it has its full capacity."""
    overload_multiple: float
    """Multiple of its present capacity above which a backend that is warming up fails."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway, which do not change after its start."""

    gateway_index: int
    gateway_count: int
    zone: str
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    safety_rules: SafetyRules
    max_attempts: int
    hedging_allowed: bool = False
    """Whether a second attempt may be in flight at the same time as the first."""
    cancellation_supported: bool = False
    counter_available: bool = False
    polls_endpoints: bool = False
    """Whether the gateway polls discovery for the endpoint list; else a local agent pushes it."""
    max_retry_after_ms: float = 0.0
    counter_timeout_ms: float = 0.0
    max_request_cost: float = 1.0
    """Maximum cost of one request, in units."""
