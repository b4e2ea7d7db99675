"""Open-loop load: requests at an even rate, whether or not earlier requests are complete."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator


async def due_requests(*, rate: float, seconds: float, interval_s: float) -> AsyncIterator[range]:
    """Yield, every `interval_s`, the numbers of the requests that have become due.

    `rate` requests a second become due for `seconds` seconds; those missed in a stall are all due after it.
    """
    started_at = time.monotonic()
    total = int(rate * seconds)
    sent = 0
    while sent < total:
        now = time.monotonic()
        due = sent
        while due < total and started_at + due / rate <= now:
            due += 1
        yield range(sent, due)
        sent = due
        await asyncio.sleep(interval_s)
