"""The worker role that holds many hollow gateways."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any, TypedDict

from .customers import Customers
from .hollow_gateway import HollowGateway, backend_id_of, freeze_garbage_collector, send_requests
from .machine import resident_mb

POLL_INTERVAL_S = 0.05
"""Between two looks at whether changes are applied."""

NOT_APPLIED = -1.0
"""Stands for the milliseconds of a change that was not applied in time."""


class StartFigures(TypedDict):
    """Memory of the process before and after the start of its gateways, in MB."""

    before_mb: float
    after_mb: float


class FleetFigures(TypedDict):
    """What the gateways of a process took since `HollowFleet.begin`."""

    cpu_s: float
    seconds: float
    rss_mb: float
    sent: int
    served: int


class HollowFleet:
    """The hollow gateways of one process."""

    def __init__(self) -> None:
        self._gateways: list[HollowGateway] = []
        self._cpu_at_begin_s = 0.0
        self._began_at = 0.0
        self._customers: Customers | None = None

    async def start(self, configs: list[dict[str, Any]]) -> StartFigures:
        """Start a gateway for each configuration, one after another."""
        before_mb = resident_mb()
        for config in configs:
            gateway = HollowGateway(config)
            self._gateways.append(gateway)
            gateway.start()
            await gateway.wait_for_snapshot()
        freeze_garbage_collector()
        return {"before_mb": before_mb, "after_mb": resident_mb()}

    async def begin(self) -> None:
        """Measure from here on."""
        for gateway in self._gateways:
            gateway.begin()
        self._cpu_at_begin_s = time.process_time()
        self._began_at = time.monotonic()

    async def read(self) -> FleetFigures:
        """Return what all took since `begin`."""
        return {
            "cpu_s": time.process_time() - self._cpu_at_begin_s,
            "seconds": time.monotonic() - self._began_at,
            "rss_mb": resident_mb(),
            "sent": sum(gateway.sent_requests for gateway in self._gateways),
            "served": sum(gateway.served_requests for gateway in self._gateways),
        }

    async def use_customers(self, **customers: int) -> None:
        """Have customers, as the arguments of `Customers` say."""
        self._customers = Customers(**customers)

    async def send_requests(self, rate: float, seconds: float) -> None:
        """Give each gateway `rate` requests a second for so many seconds."""
        assert self._customers is not None
        await send_requests(self._gateways, self._customers, rate, seconds)

    async def time_to_apply(
        self, hosts: list[str], announced_at: list[float], patience_s: float
    ) -> list[list[float]]:
        """Return for each change the milliseconds until it was applied, by gateway.

        `NOT_APPLIED` stands for one that was not within `patience_s`.
        """
        give_up_at = time.monotonic() + patience_s
        changes = [(backend_id_of(host), at) for host, at in zip(hosts, announced_at, strict=True)]
        # Only the last is polled for: a look at all of them would take the time that is measured.
        while changes and time.monotonic() < give_up_at and not self._is_applied(*changes[-1]):
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
            with contextlib.suppress(Exception):  # the process exits anyway
                gateway.close()
