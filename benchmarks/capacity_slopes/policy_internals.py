"""Access to the internals of a policy for the scenarios and their tests, all in one place."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from gateway.policy.policy import GatewayPolicy


def postpone_idle_search(policy: GatewayPolicy, now: float) -> None:
    """Postpone the policy's next search for idle customers until a full interval after `now`."""
    policy.leases.swept_at = now


def make_idle_search_due(policy: GatewayPolicy) -> None:
    """Make the policy search for idle customers at the next arrival."""
    policy.leases.swept_at = 0.0


def known_customer_count(policy: GatewayPolicy) -> int:
    """Return how many customers have a lease."""
    return len(policy.leases.by_customer)


def unreported_usage(policies: Iterable[GatewayPolicy]) -> float:
    """Return the units that were spent and not yet reported to the counter."""
    return sum(lease.unreported_usage for policy in policies for lease in policy.leases.by_customer.values())


def open_request_count(policy: GatewayPolicy) -> int:
    """Return how many requests await their final response."""
    return len(policy.requests)


def pending_counter_name_count(policy: GatewayPolicy) -> int:
    """Return how many names on the counter have calls that await a response."""
    return len(policy.counter.calls.by_name)


def subset_size(policy: GatewayPolicy) -> int:
    """Return how many backends the policy chooses from."""
    return len(policy.subset)


def open_attempt_count(policy: GatewayPolicy) -> int:
    """Return how many attempts are in flight."""
    return len(policy.retries.attempts)


def choose_backends(policy: GatewayPolicy, now: float, count: int) -> None:
    """Choose a backend `count` times for a request that has not been forwarded yet."""
    pending = next(iter(policy.requests.values()))
    request = dataclasses.replace(pending, tried_backend_ids=set(), possibly_run_attempts=[])
    for _ in range(count):
        policy.balancer.pick(now, request)
