"""The worker role that measures the control work of one hollow gateway and its event-loop stalls.

Processor time and stalls are measured in separate passes, because the event-loop probe itself takes processor
time.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any

from .customers import CustomerPopulation, CustomerSampler
from .event_loop_probe import EventLoopProbe
from .figures import ControlMeasurement, StartMeasurement, SteadyMeasurement
from .hollow_gateway import HollowGateway, backend_id_of, freeze_garbage_collector, send_requests
from .machine import resident_mb

SETTLE_S = 0.3
"""Seconds to wait after the last watch event for work that the program may have deferred."""

POLL_INTERVAL_S = 0.01
"""Seconds between two checks of whether the marker's change has been applied."""

NO_MARKER = -1
"""Marker id that matches no backend."""


class MeasuredGateway:
    """Runs one hollow gateway; measures its stalls with a probe, or its processor time without one."""

    def __init__(self) -> None:
        self._gateway: HollowGateway | None = None
        self._probe: EventLoopProbe | None = None
        self._cpu_readings_s: list[float] = []  # processor time so far, after each part of a list or change
        self._marker_id = NO_MARKER
        self._is_marker_applied = False

    def _on_update(self) -> None:
        if self._probe is not None:
            self._probe.record_update()
        else:
            self._cpu_readings_s.append(time.process_time())
        gateway = self._gateway
        if gateway is None or not gateway.applied_deltas:
            return
        # A search among thousands of backends would add to the measured time, so only the first and the last
        # backend are compared.
        backend_ids = gateway.applied_deltas[-1].backend_ids
        if backend_ids and self._marker_id in (backend_ids[0], backend_ids[-1]):
            self._is_marker_applied = True

    async def start(
        self, config: dict[str, Any], probe_loop: bool, customers: dict[str, int]
    ) -> StartMeasurement:
        """Start the gateway, which reads the whole list; return the measurement of the start.

        `customers` holds the fields of a `CustomerPopulation`.
        """
        self._customers = CustomerSampler(CustomerPopulation(**customers))
        self._probe = EventLoopProbe() if probe_loop else None
        self._gateway = HollowGateway(config, self._on_update)
        await self.begin()
        self._gateway.start()
        await self._gateway.wait_for_snapshot()
        await asyncio.sleep(SETTLE_S)
        measurement = self._end_phase(is_complete=True)
        return {**measurement, "gc_ms": freeze_garbage_collector(), "rss_mb": resident_mb()}

    async def begin(self, marker_host: str = "") -> None:
        """Start measuring; `marker_host` is the host of the backend whose change is announced last."""
        assert self._gateway is not None
        self._gateway.reset()
        self._cpu_readings_s.clear()
        self._marker_id = backend_id_of(marker_host) if marker_host else NO_MARKER
        self._is_marker_applied = False
        if self._probe is not None:
            self._probe.begin()
        self._cpu_at_begin_s = time.process_time()

    async def end(self, wait_s: float) -> ControlMeasurement:
        """Wait up to `wait_s` until the marker is applied; return the measurement since `begin`."""
        deadline = time.monotonic() + wait_s
        while not self._is_marker_applied and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._search_for_marker()
        if self._is_marker_applied:
            await asyncio.sleep(SETTLE_S)
        return self._end_phase(is_complete=self._is_marker_applied)

    def _search_for_marker(self) -> None:
        """Search all applied deltas for the marker, once none has been applied for `SETTLE_S`."""
        assert self._gateway is not None
        deltas = self._gateway.applied_deltas
        if self._is_marker_applied or not deltas or time.monotonic() - deltas[-1].applied_at <= SETTLE_S:
            return
        self._is_marker_applied = self._gateway.applied_at(self._marker_id, 0.0) is not None
        if self._probe is not None:
            self._probe.restart_clocks()

    async def run_steadily(self, request_rate: float, seconds: float) -> SteadyMeasurement:
        """Send requests at `request_rate` per second for `seconds`; return the measurement."""
        assert self._gateway is not None
        await self.begin()
        await send_requests([self._gateway], self._customers, rate=request_rate, seconds=seconds)
        return {
            **self._end_phase(is_complete=True),
            "sent": self._gateway.sent_requests,
            "served": self._gateway.served_requests,
            "rss_mb": resident_mb(),
        }

    def _end_phase(self, *, is_complete: bool) -> ControlMeasurement:
        cpu_ms = (time.process_time() - self._cpu_at_begin_s) * 1000
        if self._probe is None:
            readings = itertools.pairwise(self._cpu_readings_s)
            update_cpu_ms = [(after_s - before_s) * 1000 for before_s, after_s in readings]
            return {"is_complete": is_complete, "cpu_ms": cpu_ms, "update_cpu_ms": update_cpu_ms}
        self._probe.end()
        return {
            "is_complete": is_complete,
            "max_stall_cpu_ms": self._probe.max_stall_cpu_ms,
            "max_stall_wall_ms": self._probe.max_stall_wall_ms,
            "update_stall_cpu_ms": self._probe.update_stall_cpu_ms,
        }

    def close(self) -> None:
        """Close the gateway, if it was started."""
        if self._gateway is not None:
            self._gateway.close()
