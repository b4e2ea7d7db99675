"""The record of a case, and its end."""

from __future__ import annotations

import os
import time
from pathlib import Path

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case plays its disruption; without it, the rule has to hold."""


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.note(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Write out the rest."""
        self._file.close()
