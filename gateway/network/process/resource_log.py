"""Logs what a gateway holds against its limits, so that an overload can be told from other faults."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import NamedTuple

from gateway.network.clients.listener import ClientListener
from gateway.network.counter.client import CounterClient
from gateway.network.dispatcher import Dispatcher
from gateway.network.timers import TimerQueue, now_ms

from .memory_budget import BYTES_PER_MB, MemoryBudget, resident_memory_bytes

log = logging.getLogger(__name__)

RESOURCE_LOG_INTERVAL_MS = 10_000.0
"""Milliseconds between two log lines."""


class ResourceUse(NamedTuple):
    """How much of a resource is in use; counts are whole numbers, and sizes are in MB."""

    resource: str
    used: float
    limit: float

    @classmethod
    def of_bytes(cls, purpose: str, used_bytes: int, limit_bytes: int) -> ResourceUse:
        """Return the use of memory for a purpose."""
        return cls(f"MB for {purpose}", used_bytes / BYTES_PER_MB, limit_bytes / BYTES_PER_MB)

    def __str__(self) -> str:
        """Return the text for the log."""
        number_format = "d" if isinstance(self.used, int) else ".1f"
        return f"{self.used:{number_format}} of {self.limit:{number_format}} {self.resource}"


@dataclass(frozen=True, slots=True)
class LoggedParts:
    """The components of a gateway whose use of resources is logged."""

    timers: TimerQueue
    listener: ClientListener
    dispatcher: Dispatcher
    counter: CounterClient | None


class ResourceLog:
    """Writes one line at each interval, with each resource in use and its limit."""

    def __init__(self, name: str, memory_mb: float, budget: MemoryBudget, parts: LoggedParts) -> None:
        """`name` is the gateway's name, and `memory_mb` its memory limit in MB."""
        self._name = name
        self._memory_mb = memory_mb
        self._budget = budget
        self._parts = parts

    def start(self) -> None:
        """Write the first line after one interval."""
        self._parts.timers.call_at(now_ms() + RESOURCE_LOG_INTERVAL_MS, self._write)

    def _write(self) -> None:
        log.info(
            "gateway %s uses %s; the longest delay of a timer was %.0f ms",
            self._name,
            ", ".join(str(use) for use in self._resources()),
            self._parts.timers.take_longest_delay_ms(),
        )
        self.start()

    def _resources(self) -> list[ResourceUse]:
        parts = self._parts
        clients = parts.listener.memory
        input_bytes = clients.max_input_bytes - clients.reservable_bytes
        counter_calls = 0 if parts.counter is None else parts.counter.unreported_count
        return [
            ResourceUse("MB", resident_memory_bytes() / BYTES_PER_MB, self._memory_mb),
            ResourceUse(
                "client connections", len(parts.listener.connections), parts.listener.max_connections
            ),
            ResourceUse.of_bytes("client input", input_bytes, clients.max_input_bytes),
            ResourceUse.of_bytes("unsent replies", clients.unsent_bytes, clients.max_unsent_bytes),
            ResourceUse.of_bytes(
                "waiting replies", clients.waiting_reply_bytes, clients.max_waiting_reply_bytes
            ),
            ResourceUse(
                "open requests", parts.dispatcher.open_request_count, parts.dispatcher.max_open_requests
            ),
            ResourceUse("customers", parts.dispatcher.policy.customer_count, self._budget.max_customers),
            ResourceUse("counter calls", counter_calls, self._budget.max_counter_calls),
        ]
