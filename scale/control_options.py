"""Options of a control run, and the memory and processes that it needs."""

from __future__ import annotations

from dataclasses import dataclass

from . import machine
from .run_options import RunOptions

PROCESSES = 4
"""Processes of a control run: the main process, discovery, the counter and the measured gateway."""


@dataclass(frozen=True, kw_only=True)
class SteadyPhase:
    """A phase at constant load: changes per second, and the number of customers in the whole fleet."""

    change_rate: float = 0.0
    customers: int = 0

    @property
    def name(self) -> str:
        """Name of the phase in the tables and the JSON result."""
        return f"{self.change_rate:g} changes/s, {self.customers:,} customers"


@dataclass(frozen=True, kw_only=True)
class ControlOptions(RunOptions):
    """Options of a control run. Rates are per second, and customers are those of the whole fleet."""

    list_sizes: tuple[int, ...]
    """Sizes of the endpoint list, in backends."""

    change_rates: tuple[float, ...]
    customers: tuple[int, ...]
    request_rate: float
    fleet: int
    """Number of gateways in the whole fleet."""

    gateways_per_customer: int
    single_changes: int
    burst_size: int
    steady_s: float
    """Duration of each steady phase, in seconds."""

    messages_timeout_s: float
    """Timeout for applying the burst of messages with one change each, in seconds."""

    repeats: int

    def check(self) -> None:
        """Check that a run of these sizes stays within the limits on memory and processes.

        Raises:
            UsageError: the run needs too much memory or too many processes.
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
        """Return the phases with changes and no customers, then those with customers and no changes."""
        with_changes = [SteadyPhase(change_rate=rate) for rate in self.change_rates]
        with_customers = [SteadyPhase(customers=count) for count in self.customers if count]
        return with_changes + with_customers
