"""Limits on what clients can make the process hold, derived from its memory limit.

A process that exceeds its memory limit is killed, with all requests that it has taken. What grows with the
input of clients is therefore bounded by the memory that the process may still use, however many clients send.
"""

from __future__ import annotations

import resource
from pathlib import Path
from typing import NamedTuple

BYTES_PER_MB = 2**20

UNSENT_REPLY_SHARE = 0.1
"""Fraction of the available memory for replies that clients have not read."""

WAITING_REPLY_SHARE = 0.05
"""Fraction of the available memory for replies that are complete, but wait for earlier ones."""

BACKEND_REPLY_SHARE = 0.2
"""Fraction of the available memory for incomplete replies of backends."""

CLIENT_INPUT_SHARE = 0.15
"""Fraction of the available memory for the input of clients: read ahead, or waiting for replies."""

CUSTOMER_SHARE = 0.15
"""Fraction of the available memory for the leases of customers."""

CUSTOMER_BYTES = 1_024
"""Memory of a customer's lease, with its name and its place in the tables."""

OPEN_REQUEST_SHARE = 0.15
"""Fraction of the available memory for requests without a reply, beside their input."""

OPEN_REQUEST_BYTES = 4_096
"""Memory of an open request: its records, timers, attempts and counter call."""

COUNTER_CALL_SHARE = 0.05
"""Fraction of the available memory for calls to the counter that await a response."""

COUNTER_CALL_BYTES = 2_048
"""Memory of a counter call, with the queues of its name."""

UNDIVIDED_MB = 3.0
"""Memory, in MB, that is not divided: for connections, and for what the process needs under any load."""

MIN_AVAILABLE_MB = 3.0
"""Memory, in MB, that is divided at least: with a limit below the size of the process, it serves little."""

ASSUMED_RESIDENT_MB = 32.0
"""Size of the process at its start, in MB, if the system does not tell it."""

RESIDENT_MEMORY_FILE = Path("/proc/self/statm")
"""Sizes of the process in pages; the second number is its resident memory."""


class MemoryBudget(NamedTuple):
    """The limits on what clients can make the process hold."""

    unsent_reply_bytes: int
    waiting_reply_bytes: int
    backend_reply_bytes: int
    client_input_bytes: int
    max_customers: int
    max_open_requests: int
    max_counter_calls: int


def budget_memory(limit_mb: float, resident_bytes: int) -> MemoryBudget:
    """Divide the memory that the process may use beyond the `resident_bytes` that it uses at its start.

    The fractions add up to less than 1: the rest is for the endpoint list and for what the allocator cannot
    reuse.
    """
    available_mb = limit_mb - resident_bytes / BYTES_PER_MB - UNDIVIDED_MB
    available_bytes = max(MIN_AVAILABLE_MB, available_mb) * BYTES_PER_MB
    return MemoryBudget(
        unsent_reply_bytes=int(available_bytes * UNSENT_REPLY_SHARE),
        waiting_reply_bytes=int(available_bytes * WAITING_REPLY_SHARE),
        backend_reply_bytes=int(available_bytes * BACKEND_REPLY_SHARE),
        client_input_bytes=int(available_bytes * CLIENT_INPUT_SHARE),
        max_customers=int(available_bytes * CUSTOMER_SHARE / CUSTOMER_BYTES),
        max_open_requests=int(available_bytes * OPEN_REQUEST_SHARE / OPEN_REQUEST_BYTES),
        max_counter_calls=int(available_bytes * COUNTER_CALL_SHARE / COUNTER_CALL_BYTES),
    )


def resident_memory_bytes() -> int:
    """Return the physical memory that the process uses, or an assumed size if the system does not tell."""
    try:
        pages = RESIDENT_MEMORY_FILE.read_text().split()[1]
    except OSError:
        return int(ASSUMED_RESIDENT_MB * BYTES_PER_MB)
    return int(pages) * resource.getpagesize()
