"""What the scenarios and their tests read and change inside a policy, in one place."""

from __future__ import annotations

from collections.abc import Iterable

from gateway.policy.policy import GatewayPolicy


def postpone_cleanup(policy: GatewayPolicy, now: float) -> None:
    """Let the policy take idle customers as searched for just now."""
    policy.tidied_at = now


def make_cleanup_due(policy: GatewayPolicy) -> None:
    """Let the next arrival search for idle customers."""
    policy.tidied_at = 0.0


def known_customers(policy: GatewayPolicy) -> int:
    """Return how many customers the policy keeps."""
    return len(policy.customers)


def unreported_usage(policies: Iterable[GatewayPolicy]) -> float:
    """Return the units that were spent and not yet added to the counter."""
    return sum(customer.unsaid for policy in policies for customer in policy.customers.values())


def open_requests(policy: GatewayPolicy) -> int:
    """Return how many requests wait for their end."""
    return len(policy.requests)


def pending_counter_calls(policy: GatewayPolicy) -> int:
    """Return under how many names calls to the counter are in flight."""
    return len(policy.calls)


def subset_size(policy: GatewayPolicy) -> int:
    """Return how many backends the policy chooses from."""
    return len(policy.subset)


def open_attempts(policy: GatewayPolicy) -> int:
    """Return how many attempts are in flight."""
    return len(policy.attempts)


def choose_backends(policy: GatewayPolicy, now: float, count: int) -> None:
    """Choose a backend so many times, as for a request that has not been forwarded anywhere."""
    request = next(iter(policy.requests.values()))
    request.tried = set()
    request.ran = []
    for _ in range(count):
        policy.pick(now, request)
