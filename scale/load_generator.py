"""Worker role of the clients: sends requests at an even rate to real gateways, and counts the outcomes."""

from __future__ import annotations

import asyncio
import itertools
import time

from .client_connections import REQUEST_TIMEOUT_S, GatewayTarget
from .customers import CustomerPopulation, CustomerSampler
from .figures import LatencySummary, LoadSummary
from .histogram import TimerLagMeter
from .load_result import LoadRequest, LoadResult
from .pacing import due_requests
from .resp import encode_command

SEND_INTERVAL_S = 0.002
"""Seconds between two checks for requests that are due."""


class LoadGenerator:
    """Sends the requests of one process's clients, and measures the process's timer lag."""

    def __init__(self) -> None:
        self._targets: list[GatewayTarget] = []
        self._request_ids = itertools.count(1)
        self._lag = TimerLagMeter()

    async def connect(self, gateways: list[list[int]], customers: dict[str, int]) -> None:
        """Set the gateways, as pairs of index and port, and the customers.

        `customers` holds the fields of a `CustomerPopulation`.
        """
        self._targets = [GatewayTarget(index, port) for index, port in gateways]
        self._customers = CustomerSampler(CustomerPopulation(**customers))

    async def run(self, rate: float, seconds: float) -> LoadSummary:
        """Send `rate` requests a second over all gateways for `seconds` seconds.

        Wait for the replies, and return the summary.
        """
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
        command = encode_command(*self._customers.make_command(target.index, next(self._request_ids)))
        target.send(LoadRequest(command, result))

    async def _wait_for_replies(self, result: LoadResult) -> None:
        """Wait until no request is in flight, and fail those without a reply after `REQUEST_TIMEOUT_S`."""
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while result.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(SEND_INTERVAL_S)
        self._expire_requests(deadline)

    def _expire_requests(self, sent_before: float) -> None:
        for target in self._targets:
            target.expire_requests(sent_before)

    async def begin(self) -> None:
        """Start to measure timer lag."""
        self._lag.begin()

    async def read(self) -> dict[str, LatencySummary]:
        """Stop measuring timer lag, and return that of all measured phases."""
        return {"lag": self._lag.read()}

    def close(self) -> None:
        """Stop the timer of the lag meter, and abort all connections."""
        self._lag.close()
        for target in self._targets:
            target.close()
