"""Simulates the counter, which handles one call at a time, in virtual time."""

from __future__ import annotations

from typing import NamedTuple

from gateway.policy.events import Outcome
from tests.support.fleet_customers import MS_PER_S


class CounterResult(NamedTuple):
    """The result of a call as its gateway gets it; `latency_ms` counts from the arrival at the counter."""

    outcome: Outcome
    total: float
    latency_ms: float


class SimulatedCounter:
    """Keeps totals by name; calls that have timed out at their gateways are handled too and delay others."""

    def __init__(
        self, *, calls_per_s: float, queue_length: int, timeout_ms: float, one_way_latency_ms: float
    ) -> None:
        self.totals: dict[str, float] = {}
        self._ms_per_call = MS_PER_S / calls_per_s
        self._queue_length = queue_length
        self._timeout_ms = timeout_ms
        self._one_way_latency_ms = one_way_latency_ms
        self._free_at = 0.0

    def increment(self, now: float, name: str, amount: float) -> CounterResult:
        """Handle a call that arrives now, or reject it if the queue is full."""
        if (self._free_at - now) / self._ms_per_call > self._queue_length:
            return CounterResult(Outcome.QUEUE_FULL, 0.0, self._one_way_latency_ms)
        self._free_at = max(self._free_at, now) + self._ms_per_call
        total = self.totals.get(name, 0.0) + amount
        self.totals[name] = total
        latency_ms = self._free_at - now + self._one_way_latency_ms
        if latency_ms > self._timeout_ms:
            return CounterResult(Outcome.TIMED_OUT, 0.0, self._timeout_ms)
        return CounterResult(Outcome.OK, total, latency_ms)
