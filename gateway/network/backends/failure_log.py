"""Log of an operation's failures at many backends, which reports many failures in one line."""

from __future__ import annotations

import logging
from collections import Counter
from typing import NamedTuple

from gateway.network.address import Address

log = logging.getLogger(__name__)

MAX_LOGGED_FAILURES = 5
"""Maximum number of pairs of peer and reason that one log line names; the most frequent are named."""


class PeerFailure(NamedTuple):
    """A peer at which an operation failed, and the reason."""

    peer: Address
    reason: str


class FailureLog:
    """Counts the failures of an operation and logs them in one line, however many there were."""

    __slots__ = ("_consequence", "_counts", "_operation")

    def __init__(self, operation: str, consequence: str) -> None:
        """`operation` says in the log line what failed, and `consequence` what that led to."""
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
