"""What a run may take of the machine it is on."""

from __future__ import annotations

import os
import platform
import resource
from typing import Any

import psutil

from .errors import UsageProblem

SHARE = 0.5  # of the memory, at most
MOST_PROCESSES = 300
OTHERS = 6  # beside the gateways: the parent, three of stand-ins, the clients, the keeper of real gateways
PROCESS_MB = 35.0  # of a process with the program in it and no list, with room to spare
GATEWAY_MB = 0.5  # of a gateway without a list
BACKEND_KB = 1.25  # of a gateway, for a listed backend
CUSTOMER_KB = 2.0  # of a gateway, for a customer it serves
HOST_KB = 1.5  # of the discovery stand-in, for a listed backend
LIST_KB = 0.14  # of a listed backend, on the wire
READING = 12.0  # whole lists' worth of bytes that a process holds while it reads one
SPARE_FILES = 64
FILES = 4  # descriptors of the counter for a gateway, which are more than those of discovery


def gateway_mb(backends: int, customers: float) -> float:
    """Megabytes of a gateway's control state, about and rather too many; `customers` it meets."""
    return GATEWAY_MB + (backends * BACKEND_KB + customers * CUSTOMER_KB) / 1024


def reading_mb(backends: int) -> float:
    """Megabytes that a process needs for a while to read a whole list."""
    return backends * LIST_KB * READING / 1024


def discovery_mb(backends: int, watches: int) -> float:
    """Megabytes of the discovery stand-in: the list, and what is on its way to those that read it."""
    return backends * HOST_KB / 1024 + backends * LIST_KB / 1024 * (2 + min(watches, 64))


def check_fleet(gateways: int, fleet: int) -> None:
    """UsageProblem for more gateways than the fleet that they belong to has."""
    if gateways > fleet:
        raise UsageProblem(f"{gateways} gateways are more than the fleet of {fleet}")


def check(megabytes: float, processes: int, files: int = 0) -> None:
    """UsageProblem for a run that this machine has no room for; `files` are descriptors of one process."""
    whole = psutil.virtual_memory().total / 2**20
    if megabytes > whole * SHARE:
        raise UsageProblem(
            f"these sizes need about {megabytes:,.0f} MB of memory, and half of this machine's is"
            f" {whole * SHARE:,.0f} MB"
        )
    if processes > MOST_PROCESSES:
        raise UsageProblem(f"these sizes need {processes} processes, over {MOST_PROCESSES}")
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if most != resource.RLIM_INFINITY and files + SPARE_FILES > most:
        raise UsageProblem(f"these sizes need {files + SPARE_FILES} open files of a process, over {most}")


def facts() -> dict[str, Any]:
    """The machine, as far as a result depends on it."""
    return {
        "cores": os.cpu_count(),
        "memory_mb": round(psutil.virtual_memory().total / 2**20),
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "load": [round(value, 2) for value in os.getloadavg()],
    }
