"""Divides a process's file descriptors between clients' connections and those to backends."""

from __future__ import annotations

import resource
from typing import NamedTuple

CLIENT_SHARE = 0.5
"""Fraction of the descriptors that clients' connections may take, at most."""

BACKEND_SHARE = 0.25
"""Fraction of the descriptors that connections to backends may take, at most; the rest is headroom."""

RESERVED_DESCRIPTORS = 40
"""Descriptors that neither clients nor backends may take, at least.

14 of the process itself, 7 for watches that are opened and closed beside each other, 8 for the counter at two
addresses, and some for files that are read again and for what the process inherited.
"""


class DescriptorBudget(NamedTuple):
    """How many connections of each kind may be open at once."""

    client_connections: int
    backend_connections: int


def budget_descriptors(configured: int) -> DescriptorBudget:
    """The budget of a process that may have `configured` descriptors, or fewer by the limit of its system.

    Danger: clients fill all that they may have. A watch that finds no descriptor left misses the list's
    changes.
    """
    available = _within_system_limit(configured)
    unreserved = max(0, available - RESERVED_DESCRIPTORS)
    return DescriptorBudget(
        client_connections=max(1, min(int(available * CLIENT_SHARE), unreserved * 2 // 3)),
        backend_connections=max(1, min(int(available * BACKEND_SHARE), unreserved // 3)),
    )


def _within_system_limit(configured: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, soft_limit)
