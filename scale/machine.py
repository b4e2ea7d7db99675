"""Estimates of the resources that a run needs, limits on them, and the machine's description in a result."""

from __future__ import annotations

import os
import platform
import resource
from typing import Any

import psutil

from .errors import UsageError

MAX_MEMORY_SHARE = 0.5
"""Largest fraction of the machine's memory that a run may use."""

MAX_PROCESSES = 300
"""Largest number of processes that a run may have."""

SUPPORT_PROCESSES = 6
"""Processes besides the gateways: the main process, three of fake services, the clients and the launcher."""

PROCESS_MB = 35.0
"""Memory of a process that has imported the program and holds no endpoint list, rounded up, in MB."""

GATEWAY_MB = 0.5
"""Memory of a gateway without an endpoint list, in MB."""

GATEWAY_ENTRY_KB = 1.25
"""Memory that a gateway uses for each listed backend, in KB."""

GATEWAY_CUSTOMER_KB = 2.0
"""Memory that a gateway uses for each customer that it serves, in KB."""

DISCOVERY_ENTRY_KB = 1.5
"""Memory that the fake discovery uses for each listed backend, in KB."""

ENCODED_ENTRY_KB = 0.14
"""Size of each listed backend on the wire, in KB."""

READ_BUFFER_FACTOR = 12.0
"""Temporary memory that a process needs to read a list, as a multiple of the list's size on the wire."""

MAX_CONCURRENT_SNAPSHOTS = 64
"""Largest number of snapshots in flight that the memory estimate of the fake discovery counts."""

NON_CONNECTION_DESCRIPTORS = 64
"""File descriptors that a process uses for other things than connections."""

DESCRIPTORS_PER_GATEWAY = 4
"""File descriptors that the fake counter uses for each gateway; the fake discovery needs fewer."""

KB_PER_MB = 1024


def gateway_mb(backends: int, customers: float) -> float:
    """Return an upper estimate of the memory of a gateway's control state, in MB."""
    return GATEWAY_MB + (backends * GATEWAY_ENTRY_KB + customers * GATEWAY_CUSTOMER_KB) / KB_PER_MB


def served_customers(
    customers: int, *, fleet: int, gateways_per_customer: int, request_rate: float, seconds: float
) -> float:
    """Return an upper estimate of the number of the fleet's customers that one gateway serves in a phase.

    `request_rate` is in requests per second at the gateway, which serves no more customers than requests.
    """
    return min(customers * gateways_per_customer / fleet, request_rate * seconds)


def read_buffer_mb(backends: int) -> float:
    """Return the temporary memory that a process needs to read a snapshot, in MB."""
    return backends * ENCODED_ENTRY_KB * READ_BUFFER_FACTOR / KB_PER_MB


def discovery_mb(backends: int, watches: int) -> float:
    """Return the memory of the fake discovery for its list and the snapshots in flight, in MB."""
    snapshots = 2 + min(watches, MAX_CONCURRENT_SNAPSHOTS)
    return backends * DISCOVERY_ENTRY_KB / KB_PER_MB + backends * ENCODED_ENTRY_KB / KB_PER_MB * snapshots


def check_fleet_size(gateways: int, fleet: int) -> None:
    """Check that the run starts no more gateways than the fleet has.

    Raises:
        UsageError: the run starts more.
    """
    if gateways > fleet:
        raise UsageError(f"the run starts {gateways} gateways, more than the fleet of {fleet}")


def check_capacity(needed_mb: float, processes: int, descriptors: int = 0) -> None:
    """Check that a run stays within the memory, the processes and the file descriptors that it may use.

    `descriptors` counts the connections of the process that has the most of them.

    Raises:
        UsageError: the run needs more memory, processes or file descriptors.
    """
    total_mb = psutil.virtual_memory().total / 2**20
    if needed_mb > total_mb * MAX_MEMORY_SHARE:
        raise UsageError(
            f"these sizes need about {needed_mb:,.0f} MB of memory, over half of this machine's memory,"
            f" {total_mb * MAX_MEMORY_SHARE:,.0f} MB"
        )
    if processes > MAX_PROCESSES:
        raise UsageError(f"these sizes need {processes} processes, over the limit of {MAX_PROCESSES}")
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    needed = descriptors + NON_CONNECTION_DESCRIPTORS
    if limit != resource.RLIM_INFINITY and needed > limit:
        raise UsageError(
            f"these sizes need {needed} file descriptors in one process, over the limit of {limit}"
        )


def resident_mb(pid: int | None = None) -> float:
    """Return the resident memory of a process, by default of this one, in MB."""
    return psutil.Process(pid).memory_info().rss / 2**20


def describe_machine() -> dict[str, Any]:
    """Return the properties of the machine that can influence a result."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": round(psutil.virtual_memory().total / 2**20),
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "load": [round(value, 2) for value in os.getloadavg()],
    }
