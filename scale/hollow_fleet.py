"""Worker role that runs many hollow gateways."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

from .customers import CustomerPopulation, CustomerSampler
from .figures import HollowFigures, HollowStartMemory
from .hollow_gateway import HollowGateway, backend_id_of, freeze_garbage_collector, send_requests
from .machine import resident_mb
from .propagation import NOT_APPLIED

POLL_INTERVAL_S = 0.05
"""Seconds between two checks of whether the changes have been applied."""


class HollowFleet:
    """Runs the hollow gateways of one worker process."""

    def __init__(self) -> None:
        self._gateways: list[HollowGateway] = []
        self._cpu_at_begin_s = 0.0
        self._began_at = 0.0

    async def start(self, configs: list[dict[str, Any]]) -> HollowStartMemory:
        """Start a gateway for each configuration, one after another; return the memory before and after."""
        before_mb = resident_mb()
        for config in configs:
            gateway = HollowGateway(config)
            self._gateways.append(gateway)
            gateway.start()
            await gateway.wait_for_snapshot()
        freeze_garbage_collector()
        return {"before_mb": before_mb, "after_mb": resident_mb()}

    async def begin(self) -> None:
        """Begin a measured phase: reset the counts and the times."""
        for gateway in self._gateways:
            gateway.reset()
        self._cpu_at_begin_s = time.process_time()
        self._began_at = time.monotonic()

    async def read(self) -> HollowFigures:
        """Return the processor time and the requests since `begin`, and the memory of the process."""
        return {
            "cpu_s": time.process_time() - self._cpu_at_begin_s,
            "seconds": time.monotonic() - self._began_at,
            "rss_mb": resident_mb(),
            "sent": sum(gateway.sent_requests for gateway in self._gateways),
            "served": sum(gateway.served_requests for gateway in self._gateways),
        }

    async def send_requests(self, customers: dict[str, int], rate: float, seconds: float) -> None:
        """Send each gateway `rate` requests a second for `seconds` seconds.

        `customers` holds the fields of a `CustomerPopulation`.
        """
        sampler = CustomerSampler(CustomerPopulation(**customers))
        await send_requests(self._gateways, sampler, rate=rate, seconds=seconds)

    async def propagation_delays(
        self, hosts: list[str], announced_at: list[float], wait_s: float
    ) -> list[list[float]]:
        """Return, for each change and gateway, the milliseconds until the gateway applied the change.

        `NOT_APPLIED` stands for a change that the gateway did not apply within `wait_s`.
        """
        deadline = time.monotonic() + wait_s
        changes = [(backend_id_of(host), at) for host, at in zip(hosts, announced_at, strict=True)]
        # Only the last change is polled: looking up each change would add to the measured time.
        while changes and time.monotonic() < deadline and not self._is_applied(*changes[-1]):
            await asyncio.sleep(POLL_INTERVAL_S)
        return [[self._delay_ms(gateway, *change) for gateway in self._gateways] for change in changes]

    def _is_applied(self, backend_id: int, announced_at: float) -> bool:
        return all(gateway.applied_at(backend_id, announced_at) for gateway in self._gateways)

    @staticmethod
    def _delay_ms(gateway: HollowGateway, backend_id: int, announced_at: float) -> float:
        applied_at = gateway.applied_at(backend_id, announced_at)
        return NOT_APPLIED if applied_at is None else round((applied_at - announced_at) * 1000, 3)

    def close(self) -> None:
        """Close all gateways."""
        for gateway in self._gateways:
            with contextlib.suppress(Exception):  # errors don't matter: the process exits next
                gateway.close()
