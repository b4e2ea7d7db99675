"""Failures of one operation at many backends, logged together."""

from __future__ import annotations

import logging
from collections import Counter
from typing import NamedTuple

from gateway.network.address import Address

log = logging.getLogger(__name__)

MAX_LOGGED_FAILURES = 5
"""Peers and reasons that a log line names, the most frequent first."""


class PeerFailure(NamedTuple):
    """A failure of an operation at one peer."""

    peer: Address
    reason: str


class FailureLog:
    """Counts the failures of an operation and logs them in one line, however many there were."""

    __slots__ = ("_consequence", "_counts", "_operation")

    def __init__(self, operation: str, consequence: str) -> None:
        """`operation` and `consequence` are the line's wording of what failed, and of what came of it."""
        self._operation = operation
        self._consequence = consequence
        self._counts: Counter[PeerFailure] = Counter()

    def record(self, peer: Address, reason: str) -> None:
        """Count a failure."""
        self._counts[PeerFailure(peer, reason)] += 1

    def flush(self) -> None:
        """Log the failures since the last call, if there were any."""
        if not self._counts:
            return
        most_common = self._counts.most_common(MAX_LOGGED_FAILURES)
        examples = ", ".join(f"{failure.peer} {failure.reason} ({count})" for failure, count in most_common)
        log.warning(
            "%s failed %d times, %s: %s", self._operation, self._counts.total(), self._consequence, examples
        )
        self._counts.clear()
