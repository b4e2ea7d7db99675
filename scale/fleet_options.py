"""Options of a fleet run, and the check that the machine has enough resources for them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

from . import machine
from .run_options import RunOptions


@dataclass(frozen=True, kw_only=True)
class FleetOptions(RunOptions):
    """Options of a fleet run. Rates are per second; customers are those of the whole fleet."""

    hollow_gateways: int
    hollow_processes: int
    """Number of processes that the hollow gateways are spread over."""

    real_gateways: int
    """Number of real gateways, each in its own process."""

    fleet: int
    """Number of gateways in the whole fleet, including those that the run doesn't start."""

    backends: int
    """Number of backends in the endpoint list."""

    change_rate: float
    phase_s: float
    """Duration of each phase other than the bursts, in seconds."""

    burst_sizes: tuple[int, ...]
    burst_window_s: float
    """Duration of the load around each burst, in seconds."""

    change_timeout_s: float
    """Timeout for a change to be applied by all hollow gateways, in seconds."""

    customers: tuple[int, ...]
    gateways_per_customer: tuple[int, ...]
    hollow_request_rate: float
    """Requests per second of each hollow gateway."""

    real_request_rate: float
    """Requests per second of all real gateways together."""

    @property
    def started_gateways(self) -> int:
        """Number of gateways that the run starts."""
        return self.hollow_gateways + self.real_gateways

    def check(self) -> None:
        """Check that this machine has the resources for the run, and that the fleet is large enough.

        Raises:
            UsageError: the machine lacks resources, or the run starts more gateways than the fleet has.
        """
        machine.check_fleet_size(self.started_gateways, self.fleet)
        processes = self.hollow_processes + self.real_gateways
        process_mb = machine.PROCESS_MB + machine.read_buffer_mb(self.backends)
        needed_mb = self.started_gateways * machine.gateway_mb(self.backends, self._served_customers())
        needed_mb += processes * process_mb
        needed_mb += machine.SUPPORT_PROCESSES * machine.PROCESS_MB
        needed_mb += machine.discovery_mb(self.backends, self.started_gateways)
        machine.check_capacity(
            needed_mb,
            processes + machine.SUPPORT_PROCESSES,
            self.started_gateways * machine.DESCRIPTORS_PER_GATEWAY,
        )

    def _served_customers(self) -> float:
        """Return an upper estimate of the customers that one gateway serves in all phases together."""
        return sum(
            machine.served_customers(
                count,
                fleet=self.fleet,
                gateways_per_customer=gateways_per_customer,
                request_rate=self.hollow_request_rate,
                seconds=self.phase_s,
            )
            for count, gateways_per_customer in product(self.customers, self.gateways_per_customer)
        )
