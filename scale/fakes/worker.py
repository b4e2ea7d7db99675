"""The worker role that holds fake services, and measures its own timer lag."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from scale.errors import RunError
from scale.figures import Announcement
from scale.histogram import TimerLagMeter

from .backends import start_backends
from .counter import start_counter
from .discovery import FakeDiscovery, start_discovery
from .service import FakeService

POLL_INTERVAL_S = 0.01
"""Interval between two checks of the number of watches."""


class FakeServicesWorker:
    """The fake services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, FakeService] = {}
        self._started_discovery: FakeDiscovery | None = None
        self._lag = TimerLagMeter()

    @property
    def _discovery(self) -> FakeDiscovery:
        if self._started_discovery is None:
            raise RunError("discovery was called before it was started")
        return self._started_discovery

    async def start_discovery(self, backends: int, ports: list[int], seed: int) -> int:
        """Start discovery with a list of so many backends; return its port."""
        discovery, port = await start_discovery(backends, ports, seed)
        self._services["discovery"] = self._started_discovery = discovery
        return port

    async def start_counter(self) -> int:
        """Start the counter; return its port."""
        self._services["counter"], port = await start_counter()
        return port

    async def start_backends(self, ports: int, latency_ms: float) -> list[int]:
        """Start backends on `ports` free ports; return their numbers."""
        self._services["backends"], numbers = await start_backends(ports, latency_ms)
        return numbers

    async def wait_for_watches(self, count: int) -> None:
        """Wait until so many gateways watch the list."""
        while len(self._discovery.watches) < count:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def marker_host(self) -> str:
        """Return the backend whose change is announced last, as a marker."""
        return self._discovery.endpoints.marker_host

    async def prepare(self, counts: list[int], with_marker: bool = False) -> int:
        """As `FakeDiscovery.prepare`."""
        return self._discovery.prepare(counts, with_marker=with_marker)

    async def announce(self, batch_id: int) -> Announcement:
        """As `FakeDiscovery.announce`."""
        return self._discovery.announce(batch_id)

    async def announce_evenly(self, rate: float, seconds: float) -> list[Announcement]:
        """As `FakeDiscovery.announce_evenly`."""
        return await self._discovery.announce_evenly(rate, seconds)

    async def begin(self) -> None:
        """Count bytes and calls, and measure timer lag, from here on."""
        for service in self._services.values():
            service.begin()
        self._lag.begin()

    async def read(self) -> dict[str, Any]:
        """Return what has been counted since `begin`; the timer lag is that of all measured phases."""
        counts: dict[str, Any] = {"lag": self._lag.read()}
        for name, service in self._services.items():
            counts[name] = service.counts()
        return counts

    async def stall(self, duration_ms: float) -> None:
        """Block this process, as a busy machine would."""
        time.sleep(duration_ms / 1000)

    def close(self) -> None:
        """Close all services."""
        self._lag.close()
        for service in self._services.values():
            service.close()
