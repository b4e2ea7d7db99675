"""The options of a control run, and what it needs of the machine."""

from __future__ import annotations

from dataclasses import dataclass

from . import machine
from .run_options import RunOptions

PROCESSES = 4
"""Processes of a run: the leading one, discovery, the counter and the measured gateway."""


@dataclass(frozen=True, kw_only=True)
class SteadyPhase:
    """A phase of steady work: changes a second, and the customers of the whole fleet."""

    change_rate: float = 0.0
    customers: int = 0

    @property
    def name(self) -> str:
        """What tables and the JSON call it."""
        return f"{self.change_rate:g} changes/s, {self.customers:,} customers"


@dataclass(frozen=True, kw_only=True)
class ControlOptions(RunOptions):
    """The options of a control run. Rates are per second; customers are those of the whole fleet."""

    list_sizes: tuple[int, ...]
    """Backends in the endpoint list."""

    change_rates: tuple[float, ...]
    customers: tuple[int, ...]
    request_rate: float
    fleet: int
    """Gateways of the whole fleet."""

    gateways_per_customer: int
    single_changes: int
    burst_size: int
    steady_s: float
    """Length of each steady phase."""

    messages_timeout_s: float
    """Time-out of the burst of single messages."""

    repeats: int

    def check(self) -> None:
        """Check that this machine can carry these sizes.

        Raises:
            UsageError: it cannot.
        """
        backends = max(self.list_sizes)
        customers = sum(
            machine.served_customers(
                count,
                fleet=self.fleet,
                gateways_per_customer=self.gateways_per_customer,
                request_rate=self.request_rate,
                seconds=self.steady_s,
            )
            for count in self.customers
        )
        needed_mb = machine.gateway_mb(backends, customers) + machine.read_buffer_mb(backends)
        needed_mb += machine.discovery_mb(backends, 1) + PROCESSES * machine.PROCESS_MB
        machine.check_capacity(needed_mb, PROCESSES)

    def steady_phases(self) -> list[SteadyPhase]:
        """Return changes without customers, then customers without changes."""
        with_changes = [SteadyPhase(change_rate=rate) for rate in self.change_rates]
        with_customers = [SteadyPhase(customers=count) for count in self.customers if count]
        return with_changes + with_customers
