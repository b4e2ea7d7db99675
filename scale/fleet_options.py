"""The options of a fleet run, and what it needs of the machine."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product

from . import machine
from .run_options import RunOptions


@dataclass(frozen=True, kw_only=True)
class FleetOptions(RunOptions):
    """The options of a fleet run. Rates are per second; customers are those of the whole fleet."""

    hollow_gateways: int
    hollow_processes: int
    """Processes that hold the hollow gateways."""

    real_gateways: int
    """Real gateways, each in a process of its own."""

    fleet: int
    """Gateways of the whole fleet, those that are not started included."""

    backends: int
    """Backends in the endpoint list."""

    change_rate: float
    phase_s: float
    """Length of each phase but the bursts."""

    burst_sizes: tuple[int, ...]
    burst_window_s: float
    """How long the clients send requests around each burst."""

    change_timeout_s: float
    """How long a change may take to be applied by all hollow gateways."""

    customers: tuple[int, ...]
    gateways_per_customer: tuple[int, ...]
    hollow_request_rate: float
    """Requests of each hollow gateway."""

    real_request_rate: float
    """Requests of all real gateways together."""

    @property
    def started_gateways(self) -> int:
        """Gateways that the run starts."""
        return self.hollow_gateways + self.real_gateways

    def check(self) -> None:
        """Check that this machine can carry these sizes, and that the fleet is large enough.

        Raises:
            UsageError: it cannot, or the fleet is not.
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
        """Return an upper estimate of the customers that one gateway meets in all phases."""
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
