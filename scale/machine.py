"""What a run may take of the machine it is on, and what of the machine a result depends on."""

from __future__ import annotations

import os
import platform
import resource
from typing import Any

import psutil

from .errors import UsageError

MAX_MEMORY_SHARE = 0.5
"""Part of the machine's memory that a run may take."""

MAX_PROCESSES = 300

SUPPORT_PROCESSES = 6
"""Beside the gateways: the leading process, three of fakes, the clients, the launcher of real gateways."""

PROCESS_MB = 35.0
"""Of a process with the program in it and no list, with room to spare."""

GATEWAY_MB = 0.5
"""Of a gateway without a list."""

BACKEND_KB = 1.25
"""Of a gateway, for a listed backend."""

CUSTOMER_KB = 2.0
"""Of a gateway, for a customer it serves."""

LIST_ENTRY_KB = 1.5
"""Of fake discovery, for a listed backend."""

ENCODED_ENTRY_KB = 0.14
"""Of a listed backend, on the wire."""

READ_BUFFER_LISTS = 12.0
"""Whole lists' worth of bytes that a process holds while it reads one."""

MAX_CONCURRENT_SNAPSHOTS = 64
"""Snapshots that are on their way from fake discovery at once."""

SPARE_DESCRIPTORS = 64
"""Of a process, for all but connections."""

DESCRIPTORS_PER_GATEWAY = 4
"""At the counter, which has more of them than discovery."""

KB_PER_MB = 1024


def gateway_mb(backends: int, customers: float) -> float:
    """Return the megabytes of a gateway's control state that meets so many customers, rather too many."""
    return GATEWAY_MB + (backends * BACKEND_KB + customers * CUSTOMER_KB) / KB_PER_MB


def read_buffer_mb(backends: int) -> float:
    """Return the megabytes that a process needs for a while to read a whole list."""
    return backends * ENCODED_ENTRY_KB * READ_BUFFER_LISTS / KB_PER_MB


def discovery_mb(backends: int, watches: int) -> float:
    """Return the megabytes of fake discovery: the list, and what is on its way to those that read it."""
    snapshots = 2 + min(watches, MAX_CONCURRENT_SNAPSHOTS)
    return backends * LIST_ENTRY_KB / KB_PER_MB + backends * ENCODED_ENTRY_KB / KB_PER_MB * snapshots


def check_fleet_size(gateways: int, fleet: int) -> None:
    """Check that the fleet has at least so many gateways.

    Raises:
        UsageError: it has fewer.
    """
    if gateways > fleet:
        raise UsageError(f"{gateways} gateways are more than the fleet of {fleet}")


def check_capacity(megabytes: float, processes: int, descriptors: int = 0) -> None:
    """Check that this machine has room for a run; `descriptors` are those of one process.

    Raises:
        UsageError: it has not.
    """
    total_mb = psutil.virtual_memory().total / 2**20
    if megabytes > total_mb * MAX_MEMORY_SHARE:
        raise UsageError(
            f"these sizes need about {megabytes:,.0f} MB of memory, and half of this machine's is"
            f" {total_mb * MAX_MEMORY_SHARE:,.0f} MB"
        )
    if processes > MAX_PROCESSES:
        raise UsageError(f"these sizes need {processes} processes, over {MAX_PROCESSES}")
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    needed = descriptors + SPARE_DESCRIPTORS
    if limit != resource.RLIM_INFINITY and needed > limit:
        raise UsageError(f"these sizes need {needed} open files of a process, over {limit}")


def resident_mb(pid: int | None = None) -> float:
    """Return the megabytes of a process that are in memory; None: of this one."""
    return psutil.Process(pid).memory_info().rss / 2**20


def describe_machine() -> dict[str, Any]:
    """Return the machine's facts, as far as a result depends on them."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": round(psutil.virtual_memory().total / 2**20),
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "load": [round(value, 2) for value in os.getloadavg()],
    }
