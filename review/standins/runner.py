"""Runs a case: reads TROUBLE, writes the record and returns the exit status."""

from __future__ import annotations

import asyncio
import os
import selectors
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses."""


def create_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are exact to microseconds; the usual one has milliseconds."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def run_case(play: Callable[[Record, bool], Awaitable[int]], folder: Path) -> int:
    """Play a case, write its record into `folder` and return the exit status.

    `play` gets the record and whether the disruption takes place, and returns how often the rule was broken.
    SIGTERM cancels it, so that it ends its processes.
    """
    record = Record()

    async def play_until_terminated() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(record, os.environ.get("TROUBLE") != "0")

    try:
        with asyncio.Runner(loop_factory=create_loop) as runner:
            broken_count = runner.run(play_until_terminated())
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        record.write(folder / "record.txt")
    return BROKEN if broken_count else HELD
