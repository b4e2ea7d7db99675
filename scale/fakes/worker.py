"""The worker role that holds fake services, and measures how late it ran itself."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from scale.histogram import LagMeter

from .backends import start_backends
from .counter import FakeCounter, start_counter
from .discovery import Announcement, FakeDiscovery, start_discovery
from .service import FakeService

POLL_INTERVAL_S = 0.01
"""Between two looks at the number of watches."""


class FakeServicesWorker:
    """The fake services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, FakeService] = {}
        self._lag = LagMeter()

    @property
    def _discovery(self) -> FakeDiscovery:
        discovery = self._services["discovery"]
        assert isinstance(discovery, FakeDiscovery)
        return discovery

    async def start_discovery(self, backends: int, ports: list[int], seed: int) -> int:
        """Start discovery with a list of so many backends; return its port."""
        self._services["discovery"], port = await start_discovery(backends, ports, seed)
        return port

    async def start_counter(self) -> int:
        """Start the counter; return its port."""
        self._services["counter"], port = await start_counter()
        return port

    async def start_backends(self, ports: int, latency_ms: float) -> list[int]:
        """Start backends on so many ports; return the ports."""
        self._services["backends"], numbers = await start_backends(ports, latency_ms)
        return numbers

    async def wait_for_watches(self, count: int) -> None:
        """Wait until so many gateways watch the list."""
        while len(self._discovery.watches) < count:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def marker_host(self) -> str:
        """Return the backend whose change marks the end of others."""
        return self._discovery.endpoints.marker_host

    async def prepare(self, counts: list[int], marked: bool) -> int:
        """As `FakeDiscovery.prepare`."""
        return self._discovery.prepare(counts, marked=marked)

    async def announce(self, batch_id: int) -> Announcement:
        """As `FakeDiscovery.announce`."""
        return self._discovery.announce(batch_id)

    async def announce_evenly(self, rate: float, seconds: float) -> list[Announcement]:
        """As `FakeDiscovery.announce_evenly`."""
        return await self._discovery.announce_evenly(rate, seconds)

    async def begin(self) -> None:
        """Count bytes, calls and lateness from here on."""
        for service in self._services.values():
            service.begin()
        self._lag.begin()

    async def read(self) -> dict[str, Any]:
        """Return what has been counted since `begin`; lateness is over all that was measured."""
        counts: dict[str, Any] = {"lag": self._lag.read()}
        for name, service in self._services.items():
            counts[name] = {"sent": service.bytes_sent, "received": service.bytes_received}
            if isinstance(service, FakeCounter):
                counts[name]["calls"] = service.calls
        return counts

    async def stall(self, duration_ms: float) -> None:
        """Hold this process up, as a crowded machine would."""
        time.sleep(duration_ms / 1000)

    def close(self) -> None:
        """Close all services."""
        self._lag.close()
        for service in self._services.values():
            service.close()
