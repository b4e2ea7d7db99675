"""The record of a run: what was sent, answered and run, with times."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines in memory, and writes them to a file at the end of the run."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Add a line with the time since the run began."""
        self.lines.append(f"{self.now():10.4f} {text}")

    def write(self, path: Path) -> None:
        """Write the record to `path`."""
        path.write_text("\n".join(self.lines) + "\n")
