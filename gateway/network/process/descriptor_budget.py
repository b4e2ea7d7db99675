"""Limits of client and backend connections, derived from the file descriptors of the process."""

from __future__ import annotations

import resource
from typing import NamedTuple

MAX_CLIENT_SHARE = 0.5
"""Maximum fraction of the file descriptors that client connections may take."""

MAX_BACKEND_SHARE = 0.25
"""Maximum fraction of the file descriptors that backend connections may take."""

RESERVED_DESCRIPTORS = 40
"""Minimum number of file descriptors that neither client nor backend connections may take.

The process itself uses 14 of them, overlapping watches use 7, and the counter client uses 8 while it moves
between two addresses. The rest is for configuration files and inherited descriptors.
"""


class DescriptorBudget(NamedTuple):
    """The maximum number of open connections of each kind."""

    client_connections: int
    backend_connections: int


def budget_descriptors(configured: int) -> DescriptorBudget:
    """Return the budget for `configured` file descriptors, or for the process's soft limit if that is lower.

    Idle clients can use up the clients' whole share. The reserved descriptors ensure that the endpoint watch
    and the counter client can still connect; without the watch, the gateway would miss draining backends.
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
