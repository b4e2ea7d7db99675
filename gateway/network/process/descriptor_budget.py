"""Division of a process's file descriptors between clients' connections and connections to backends."""

from __future__ import annotations

import resource
from typing import NamedTuple

MAX_CLIENT_SHARE = 0.5
"""Largest fraction of the descriptors for clients' connections."""

MAX_BACKEND_SHARE = 0.25
"""Largest fraction of the descriptors for connections to backends."""

RESERVED_DESCRIPTORS = 40
"""Least number of descriptors that are neither clients' nor backends'.

The process itself takes 14, watches that overlap 7 and the counter 8 (at two addresses, while it moves); the
rest is for configuration files and inherited descriptors.
"""


class DescriptorBudget(NamedTuple):
    """How many connections of each kind may be open at once."""

    client_connections: int
    backend_connections: int


def budget_descriptors(configured: int) -> DescriptorBudget:
    """The budget of a process with `configured` descriptors, or fewer by the limit of its system.

    Idle clients may take all descriptors of their share. The reserve keeps some for the endpoint watch, which
    would otherwise miss drains, and for the counter.
    """
    available = _cap_at_soft_limit(configured)
    unreserved = max(0, available - RESERVED_DESCRIPTORS)
    return DescriptorBudget(
        client_connections=max(1, min(int(available * MAX_CLIENT_SHARE), unreserved * 2 // 3)),
        backend_connections=max(1, min(int(available * MAX_BACKEND_SHARE), unreserved // 3)),
    )


def _cap_at_soft_limit(configured: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)
