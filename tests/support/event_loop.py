"""Runs asynchronous tests, and waits for conditions that other tasks fulfil."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import ParamSpec

import uvloop

P = ParamSpec("P")

POLL_INTERVAL_S = 0.002


def run_in_loop(scenario: Callable[[], Awaitable[None]], timeout_s: float = 20) -> None:
    """Run a scenario in an event loop of its own, for at most `timeout_s` seconds."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(timeout_s):
            await scenario()

    uvloop.run(run_with_timeout())


def runs_in_loop(test: Callable[P, Awaitable[None]]) -> Callable[P, None]:
    """Decorate an asynchronous test so that it runs in `run_in_loop`, with the default timeout."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        run_in_loop(lambda: test(*args, **kwargs))

    return run


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition that other tasks fulfil; only the test's timeout limits the wait."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
