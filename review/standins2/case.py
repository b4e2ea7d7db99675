"""Runs a case: its servers, its gateway, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import BROKEN, COULD_NOT_RUN, HELD, CannotRunError, Record

TIME_LIMIT_S = 110.0


def run(folder: Path, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 1 if `play` returns breaks of the rule, 0 if none, 2 if it could not run."""
    record = Record(folder)
    status = COULD_NOT_RUN
    try:
        breaks = asyncio.run(_play_in_time(record, play))
        for text in breaks[:20]:
            record.say(f"BROKEN   {text}")
        status = BROKEN if breaks else HELD
        record.say(f"RESULT   rule {'broken' if breaks else 'held'}: {len(breaks)} breaks")
    except (CannotRunError, TimeoutError) as error:
        record.say(f"RESULT   could not run: {error!r}")
    except Exception:
        record.say(f"RESULT   could not run: {traceback.format_exc()}")
    record.close()
    sys.exit(status)


async def _play_in_time(record: Record, play: Callable[[Record], Awaitable[list[str]]]) -> list[str]:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await play(record)
