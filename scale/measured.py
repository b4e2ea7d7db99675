"""One gateway's control work in a process of its own: what it takes, and how long it holds the loop up.

Imports the program, as scale/hollow.py does.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

from gateway.network.endpoint_list import backend_id_of

from .hollow import Hollow, freeze, give_requests, resident_mb
from .settings import Customers

SETTLE_S = 0.3  # after the last message, for what the program may have put off
POLL_S = 0.01


class Gap(NamedTuple):
    """Between two turns of the event loop: milliseconds by the clock, and of this thread's processor time."""

    wall: float = 0.0
    cpu: float = 0.0


class Ticker:
    """Comes in each turn of the event loop and keeps the longest gaps."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.running = False

    def begin(self) -> None:
        self.longest = self.most = Gap()  # by the clock, and by processor time
        self.with_message: list[Gap] = []  # the gaps in which a message of the list was taken
        self.taken = False
        self.wall, self.cpu = time.perf_counter(), time.thread_time()
        if not self.running:
            self.running = True
            self.loop.call_soon(self._tick)

    def end(self) -> None:
        self.running = False

    def leave_out(self) -> None:
        """What has passed since the last turn is none of what is measured."""
        self.wall, self.cpu = time.perf_counter(), time.thread_time()

    def _tick(self) -> None:
        wall, cpu = time.perf_counter(), time.thread_time()
        gap = Gap((wall - self.wall) * 1000, (cpu - self.cpu) * 1000)
        if gap.wall > self.longest.wall:
            self.longest = gap
        if gap.cpu > self.most.cpu:
            self.most = gap
        if self.taken:
            self.taken = False
            self.with_message.append(gap)
        if self.running:
            self.wall, self.cpu = time.perf_counter(), time.thread_time()
            self.loop.call_soon(self._tick)


class Measured:
    """One gateway. With a ticker its hold-ups are measured, without one its processor time."""

    def __init__(self) -> None:
        self.gateway: Hollow | None = None
        self.ticker: Ticker | None = None
        self.stamps: list[float] = []  # processor seconds so far, whenever a message had been taken
        self.marker = -1
        self.marked = False

    def _after(self) -> None:
        if self.ticker is not None:
            self.ticker.taken = True
        else:
            self.stamps.append(time.process_time())
        # Only the ends are looked at: a look at each of thousands would be measured as well.
        if (gateway := self.gateway) is not None and gateway.calls and (backends := gateway.calls[-1][1]):
            self.marked |= self.marker in (backends[0], backends[-1])

    async def start(self, config: dict[str, Any], ticker: bool, customers: dict[str, int]) -> dict[str, Any]:
        """Read the whole list as at a start; gives what that took.

        `customers` are the arguments of `Customers`.
        """
        self.customers = Customers(**customers)
        self.ticker = Ticker() if ticker else None
        self.gateway = Hollow(config, self._after)
        await self.begin("")
        self.gateway.start()
        await self.gateway.started()
        await asyncio.sleep(SETTLE_S)
        taken = self._taken(done=True)
        return {**taken, "collect_ms": freeze(), "rss_mb": resident_mb()}

    async def begin(self, marker: str) -> None:
        """Measure from here on; `marker` is the host whose change is told last."""
        assert self.gateway is not None
        self.gateway.begin()
        self.stamps.clear()
        self.marker, self.marked = backend_id_of(marker) if marker else -1, False
        if self.ticker is not None:
            self.ticker.begin()
        self.cpu = time.process_time()

    async def end(self, patience: float) -> dict[str, Any]:
        """Wait until the marker is in force, at most so many seconds; gives what all since `begin` took."""
        end = time.monotonic() + patience
        while not self.marked and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
            self._look()
        if self.marked:
            await asyncio.sleep(SETTLE_S)
        return self._taken(self.marked)

    def _look(self) -> None:
        """Once nothing more comes, look for the marker in all that came."""
        assert self.gateway is not None
        calls = self.gateway.calls
        if not self.marked and calls and time.monotonic() - calls[-1][0] > SETTLE_S:
            self.marked = self.gateway.in_force(self.marker, 0.0) is not None
            if self.ticker is not None:
                self.ticker.leave_out()  # what this look took, at all that came, is not the gateway's

    async def steady(self, requests: float, seconds: float) -> dict[str, Any]:
        """Give so many requests a second for so many seconds; gives what all control work took meanwhile."""
        assert self.gateway is not None
        await self.begin("")
        await give_requests([self.gateway], self.customers, requests, seconds)
        given = {"given": self.gateway.given, "served": self.gateway.served}
        return {**self._taken(done=True), **given, "rss_mb": resident_mb()}

    def _taken(self, done: bool) -> dict[str, Any]:
        cpu_ms = (time.process_time() - self.cpu) * 1000
        assert self.gateway is not None
        taken: dict[str, Any] = {"done": done, "messages": self.gateway.messages}
        if self.ticker is None:
            pairs = zip(self.stamps, self.stamps[1:], strict=False)
            return {**taken, "cpu_ms": cpu_ms, "each_ms": [(b - a) * 1000 for a, b in pairs]}
        self.ticker.end()
        return {
            **taken,
            "longest": self.ticker.longest._asdict(),
            "most": self.ticker.most._asdict(),
            "each": [gap._asdict() for gap in self.ticker.with_message],
        }

    def close(self) -> None:
        if self.gateway is not None:
            self.gateway.close()
