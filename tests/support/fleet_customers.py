"""The customers of a simulated fleet, and reference token buckets for their quotas."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from gateway.policy.settings import Plan

MS_PER_S = 1000.0


@dataclass
class Customer:
    """A customer with its plan, its request rate and the gateways that it uses."""

    name: str
    plan: Plan
    rate: float
    """Mean number of requests per second, without retries."""
    gateways: list[int]
    """Indexes of the customer's gateways."""
    weights: list[float] = field(default_factory=list)
    """Relative request rates of the gateways; by default 1/n for the n-th gateway, counted from 1."""

    def __post_init__(self) -> None:
        """Set the default weights unless weights are given."""
        self.weights = self.weights or [1 / (position + 1) for position in range(len(self.gateways))]


@dataclass
class ReferenceQuota:
    """The token bucket that a customer's plan describes; requests beyond the quota take no token."""

    plan: Plan
    tokens: float
    refilled_at: float

    @classmethod
    def full(cls, plan: Plan, now: float) -> ReferenceQuota:
        """Return a quota whose token bucket is full."""
        return cls(plan, plan.burst, now)

    def take(self, now: float) -> bool:
        """Take a token if one is available; return whether it was."""
        is_available = self.has_token(now)
        if is_available:
            self.tokens -= 1
        return is_available

    def has_token(self, now: float) -> bool:
        """Return whether one request would be within the quota."""
        return self.refill(now) >= 1

    def refill(self, now: float) -> float:
        """Add the tokens earned since the last refill; return the token count, infinite without a quota."""
        if not self.plan.rate:
            return math.inf
        earned = (now - self.refilled_at) / MS_PER_S * self.plan.rate
        self.tokens = min(self.plan.burst, self.tokens + earned)
        self.refilled_at = now
        return self.tokens
