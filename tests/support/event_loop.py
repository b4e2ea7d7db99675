"""Runs asynchronous tests, and waits for what other tasks bring about."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import uvloop


def run_in_loop(scenario: Callable[[], Awaitable[None]], seconds: float = 20) -> None:
    async def limited() -> None:
        async with asyncio.timeout(seconds):
            await scenario()

    uvloop.run(limited())


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait for what other tasks bring about; the test's time limit ends a vain wait."""
    while not condition():
        await asyncio.sleep(0.002)
