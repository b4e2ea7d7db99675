"""The worker role of the clients: requests at an even rate to real gateways, and what becomes of them."""

from __future__ import annotations

import asyncio
import itertools
import time

from .client_connections import REQUEST_TIMEOUT_S, GatewayTarget
from .customers import CustomerPopulation, Customers
from .figures import LatencySummary, LoadSummary
from .histogram import TimerLagMeter
from .load_result import LoadRequest, LoadResult
from .pacing import due_requests
from .resp import encode_command

SEND_INTERVAL_S = 0.002
"""Interval between two checks of which requests are due."""


class LoadGenerator:
    """The clients of one process, and its timer lag."""

    def __init__(self) -> None:
        self._targets: list[GatewayTarget] = []
        self._request_ids = itertools.count(1)
        self._lag = TimerLagMeter()

    async def connect(self, gateways: list[list[int]], customers: dict[str, int]) -> None:
        """Name the gateways, each by its index and port, and the fields of the `CustomerPopulation`."""
        self._targets = [GatewayTarget(index, port) for index, port in gateways]
        self._customers = Customers(CustomerPopulation(**customers))

    async def run(self, rate: float, seconds: float) -> LoadSummary:
        """Send `rate` requests a second over all gateways, wait for the replies, and return the summary."""
        result = LoadResult()
        async for due in due_requests(rate=rate, seconds=seconds, interval_s=SEND_INTERVAL_S):
            for number in due:
                self._send(self._targets[number % len(self._targets)], result)
            self._expire_requests(time.monotonic() - REQUEST_TIMEOUT_S)
        await self._wait_for_replies(result)
        return result.summary()

    def _send(self, target: GatewayTarget, result: LoadResult) -> None:
        if not result.begin_request():
            return
        command = encode_command(*self._customers.request(target.index, next(self._request_ids)))
        target.send(LoadRequest(command, result))

    async def _wait_for_replies(self, result: LoadResult) -> None:
        """Wait until no request is in flight, and fail those that have no reply in time."""
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while result.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(SEND_INTERVAL_S)
        self._expire_requests(deadline)

    def _expire_requests(self, sent_before: float) -> None:
        for target in self._targets:
            target.expire_requests(sent_before)

    async def begin(self) -> None:
        """Measure timer lag from here on."""
        self._lag.begin()

    async def read(self) -> dict[str, LatencySummary]:
        """Return the timer lag of this process in all measured phases."""
        return {"lag": self._lag.read()}

    def close(self) -> None:
        """Abort all connections."""
        self._lag.close()
        for target in self._targets:
            target.close()
