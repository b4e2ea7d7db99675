"""Worker role that runs fake services and measures its own timer lag."""

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
"""Seconds between two checks of the number of watches."""


class FakeServicesWorker:
    """Runs the fake services of one worker process."""

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
        """Start discovery with a list of `backends` backends; return its port."""
        discovery, port = await start_discovery(backends, ports, seed)
        self._services["discovery"] = self._started_discovery = discovery
        return port

    async def start_counter(self) -> int:
        """Start the counter; return its port."""
        self._services["counter"], port = await start_counter()
        return port

    async def start_backends(self, ports: int, latency_ms: float) -> list[int]:
        """Start fake backends on `ports` free ports; return the port numbers."""
        self._services["backends"], bound_ports = await start_backends(ports, latency_ms)
        return bound_ports

    async def wait_for_watches(self, count: int) -> None:
        """Wait until `count` gateways watch the endpoint list."""
        while len(self._discovery.watches) < count:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def marker_host(self) -> str:
        """Return the host of the marker, the backend whose change is announced last."""
        return self._discovery.endpoints.marker_host

    async def prepare(self, counts: list[int], with_marker: bool = False) -> int:
        """Call `FakeDiscovery.prepare`, and return the id of the batch."""
        return self._discovery.prepare(counts, with_marker=with_marker)

    async def announce(self, batch_id: int) -> Announcement:
        """Call `FakeDiscovery.announce`, and return the announcement."""
        return self._discovery.announce(batch_id)

    async def announce_evenly(self, rate: float, seconds: float) -> list[Announcement]:
        """Call `FakeDiscovery.announce_evenly`, and return the announcements."""
        return await self._discovery.announce_evenly(rate, seconds)

    async def begin(self) -> None:
        """Begin a measured phase: reset the counts of the services, and start to measure timer lag."""
        for service in self._services.values():
            service.begin()
        self._lag.begin()

    async def read(self) -> dict[str, Any]:
        """Return the counts since `begin`, and the timer lag over all measured phases."""
        counts: dict[str, Any] = {"lag": self._lag.read()}
        for name, service in self._services.items():
            counts[name] = service.counts()
        return counts

    async def stall(self, duration_ms: float) -> None:
        """Block this process for `duration_ms`, as a busy machine would."""
        time.sleep(duration_ms / 1000)

    def close(self) -> None:
        """Stop the timer of the lag meter, and close all services."""
        self._lag.close()
        for service in self._services.values():
            service.close()
