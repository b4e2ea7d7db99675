"""What a fleet run may be asked, and what it needs of the machine."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

from . import machine


@dataclass(frozen=True)
class FleetOptions:
    """What to run. Rates are per second: `requests` of each hollow gateway, `rate` of all real ones."""

    hollow: int
    processes: int
    real: int
    backends: int
    changes: float
    seconds: float
    bursts: tuple[int, ...]
    window: float
    customers: tuple[int, ...]
    spread: tuple[int, ...]
    requests: float
    rate: float
    fleet: int
    patience: float
    seed: int
    programs: tuple[str, ...]
    stall: float = 0.0

    def check(self) -> None:
        """Check that this machine has room for these sizes, and the fleet so many gateways.

        Raises:
            UsageError: it has not.
        """
        gateways = self.hollow + self.real
        machine.check_fleet_size(gateways, self.fleet)
        customers = sum(
            min(customers * spread / self.fleet, self.requests * self.seconds)
            for customers, spread in product(self.customers, self.spread)
        )
        process_mb = machine.PROCESS_MB + machine.read_buffer_mb(self.backends)
        needed_mb = gateways * machine.gateway_mb(self.backends, customers)
        needed_mb += (self.processes + self.real) * process_mb
        needed_mb += machine.SUPPORT_PROCESSES * machine.PROCESS_MB
        needed_mb += machine.discovery_mb(self.backends, gateways)
        processes = self.processes + self.real + machine.SUPPORT_PROCESSES
        machine.check_capacity(needed_mb, processes, gateways * machine.DESCRIPTORS_PER_GATEWAY)
