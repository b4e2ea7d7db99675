"""Log of rejected commands and clients: counted by reason, one line at intervals."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)

REJECTION_LOG_INTERVAL_MS = 1_000.0
"""Least milliseconds between two log lines, so that a flood of clients does not become a flood of lines."""


class RejectionLog:
    """Counts what clients were rejected for since the last log line."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        """By reason, since the last log line."""
        self._logged_at = 0.0  # in milliseconds of `now_ms`

    def count(self, reason: str) -> None:
        """Count a command that was rejected or a connection that was closed."""
        self.counts[reason] += 1

    def write_if_due(self, listen_address: str, now: float) -> None:
        """Log what was counted, unless the last line is too recent; `now` is in milliseconds of `now_ms`."""
        if not self.counts or now - self._logged_at < REJECTION_LOG_INTERVAL_MS:
            return
        log.warning(
            "clients of %s rejected, each with an error reply or its connection closed, by reason: %s",
            listen_address,
            dict(self.counts),
        )
        self.counts.clear()
        self._logged_at = now
