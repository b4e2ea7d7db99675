"""The worker role that measures one hollow gateway: its control work, and how long that holds the loop up.

Processor time and hold-ups are measured in passes of their own, because the probe of the loop takes processor
time itself.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any

from .customers import Customers
from .event_loop_probe import EventLoopProbe
from .hollow_gateway import HollowGateway, backend_id_of, freeze_garbage_collector, send_requests
from .machine import resident_mb

SETTLE_S = 0.3
"""After the last watch event, for work that the program may have put off."""

POLL_INTERVAL_S = 0.01
"""Between two looks at whether the marker has come."""

NO_MARKER = -1
"""Matches no backend."""


class MeasuredGateway:
    """One gateway. With a probe its hold-ups are measured, without one its processor time."""

    def __init__(self) -> None:
        self._gateway: HollowGateway | None = None
        self._probe: EventLoopProbe | None = None
        self._cpu_stamps_s: list[float] = []  # processor time so far, after each part of a list or change
        self._marker_id = NO_MARKER
        self._marker_applied = False

    def _on_update(self) -> None:
        if self._probe is not None:
            self._probe.note_update()
        else:
            self._cpu_stamps_s.append(time.process_time())
        gateway = self._gateway
        if gateway is None or not gateway.watch_events:
            return
        # Only the ends are compared: a look at each of thousands would be measured as well.
        backend_ids = gateway.watch_events[-1].backend_ids
        if backend_ids and self._marker_id in (backend_ids[0], backend_ids[-1]):
            self._marker_applied = True

    async def start(
        self, config: dict[str, Any], probe_loop: bool, customers: dict[str, int]
    ) -> dict[str, Any]:
        """Read the whole list as at a start; return what that took.

        `customers` are the arguments of `Customers`.
        """
        self._customers = Customers(**customers)
        self._probe = EventLoopProbe() if probe_loop else None
        self._gateway = HollowGateway(config, self._on_update)
        await self.begin("")
        self._gateway.start()
        await self._gateway.wait_for_snapshot()
        await asyncio.sleep(SETTLE_S)
        figures = self._figures(done=True)
        return {**figures, "collect_ms": freeze_garbage_collector(), "rss_mb": resident_mb()}

    async def begin(self, marker_host: str) -> None:
        """Measure from here on; `marker_host` is the backend whose change is announced last."""
        assert self._gateway is not None
        self._gateway.begin()
        self._cpu_stamps_s.clear()
        self._marker_id = backend_id_of(marker_host) if marker_host else NO_MARKER
        self._marker_applied = False
        if self._probe is not None:
            self._probe.begin()
        self._cpu_at_begin_s = time.process_time()

    async def end(self, patience_s: float) -> dict[str, Any]:
        """Wait until the marker is applied, at most `patience_s`; return what all since `begin` took."""
        give_up_at = time.monotonic() + patience_s
        while not self._marker_applied and time.monotonic() < give_up_at:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._search_marker()
        if self._marker_applied:
            await asyncio.sleep(SETTLE_S)
        return self._figures(self._marker_applied)

    def _search_marker(self) -> None:
        """Once nothing more comes, search all events for the marker."""
        assert self._gateway is not None
        events = self._gateway.watch_events
        if self._marker_applied or not events or time.monotonic() - events[-1].applied_at <= SETTLE_S:
            return
        self._marker_applied = self._gateway.applied_at(self._marker_id, 0.0) is not None
        if self._probe is not None:
            self._probe.skip()  # the search's own time is not the gateway's

    async def run_steadily(self, request_rate: float, seconds: float) -> dict[str, Any]:
        """Send so many requests a second for so many seconds; return what all control work took meanwhile."""
        assert self._gateway is not None
        await self.begin("")
        await send_requests([self._gateway], self._customers, request_rate, seconds)
        return {
            **self._figures(done=True),
            "sent": self._gateway.sent_requests,
            "served": self._gateway.served_requests,
            "rss_mb": resident_mb(),
        }

    def _figures(self, done: bool) -> dict[str, Any]:
        cpu_ms = (time.process_time() - self._cpu_at_begin_s) * 1000
        assert self._gateway is not None
        figures: dict[str, Any] = {"done": done, "messages": self._gateway.change_count}
        if self._probe is None:
            stamps = self._cpu_stamps_s
            each_ms = [(after - before) * 1000 for before, after in itertools.pairwise(stamps)]
            return {**figures, "cpu_ms": cpu_ms, "each_ms": each_ms}
        self._probe.end()
        return {
            **figures,
            "longest": self._probe.longest_by_wall._asdict(),
            "most": self._probe.longest_by_cpu._asdict(),
            "each": [gap._asdict() for gap in self._probe.update_gaps],
        }

    def close(self) -> None:
        """Close the gateway."""
        if self._gateway is not None:
            self._gateway.close()
