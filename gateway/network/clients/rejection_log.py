"""Log of rejected commands and clients, which are counted by reason and logged in one line at intervals."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)

REJECTION_LOG_INTERVAL_MS = 1_000.0
"""Minimum milliseconds between two log lines, so that a flood of clients does not cause a flood of lines."""


class RejectionLog:
    """Counts rejected commands and closed connections by reason, and logs the counts."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        """Number of rejections by reason, since the last log line."""
        self._logged_at = 0.0  # in milliseconds, as returned by `now_ms`

    def count(self, reason: str) -> None:
        """Count a rejected command or a closed connection under its reason."""
        self.counts[reason] += 1

    def write_if_due(self, listen_address: str, now: float) -> None:
        """Log the counts, unless the last log line is too recent; `now` is the result of `now_ms`."""
        if not self.counts or now - self._logged_at < REJECTION_LOG_INTERVAL_MS:
            return
        log.warning(
            "listener %s rejected commands with an error reply or closed connections, by reason: %s",
            listen_address,
            dict(self.counts),
        )
        self.counts.clear()
        self._logged_at = now
