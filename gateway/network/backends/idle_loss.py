"""Estimate of how long an idle connection may be kept before a request on it is likely to be lost."""

from __future__ import annotations

import bisect
import math

IDLE_TIME_BOUNDS_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, math.inf)
"""Upper bounds, in milliseconds, of the ranges of idle time for which requests are counted separately."""

NEW_CONNECTION_INDEX = -1
"""Index of the counts for new connections, which come after those of the ranges of idle time."""

PRIOR_ATTEMPTS = 5.0
"""Successful requests assumed for each range of idle time, so that a first loss does not set the limit."""

MAX_EXCESS_LOSS_RATE = 0.15
"""Amount by which a loss rate may exceed that of new connections, as a fraction of requests."""

DECAY_FACTOR = 0.9
"""Factor by which each count decays once a second; as losses fade, longer idle times are allowed again."""


class IdleLossEstimator:
    """Learns from lost requests how long a connection may be idle and still be reused.

    Backends keep idle connections open for the keep-alive time of the settings, but some of them, or a
    middlebox in between, drop them earlier and without notice. The limit is the start of the first range of
    idle times in which clearly more requests are lost than on new connections.
    """

    __slots__ = ("_attempts", "_losses", "max_idle_ms")

    def __init__(self) -> None:
        self._attempts = [0.0] * (len(IDLE_TIME_BOUNDS_MS) + 1)
        self._losses = [0.0] * (len(IDLE_TIME_BOUNDS_MS) + 1)
        self.max_idle_ms = IDLE_TIME_BOUNDS_MS[-1]
        """Milliseconds of idle time from which a connection is not reused; infinite if there is no limit."""

    def record(self, idle_ms: float | None, *, is_lost: bool) -> None:
        """Count a request on a connection that had been idle for `idle_ms`, or was new if that is None.

        A request is lost if its connection breaks before any byte of the reply has arrived.
        """
        if idle_ms is None:
            index = NEW_CONNECTION_INDEX
        else:
            index = bisect.bisect_left(IDLE_TIME_BOUNDS_MS, idle_ms, hi=len(IDLE_TIME_BOUNDS_MS) - 1)
        self._attempts[index] += 1
        if is_lost:
            self._losses[index] += 1
            self._update_max_idle_ms()

    def decay(self) -> None:
        """Multiply all counts by `DECAY_FACTOR`; to be called once a second."""
        self._attempts = [DECAY_FACTOR * count for count in self._attempts]
        self._losses = [DECAY_FACTOR * count for count in self._losses]
        self._update_max_idle_ms()

    def _update_max_idle_ms(self) -> None:
        baseline = self._loss_rate(NEW_CONNECTION_INDEX)
        self.max_idle_ms = IDLE_TIME_BOUNDS_MS[-1]
        for index in range(1, len(IDLE_TIME_BOUNDS_MS)):
            if self._loss_rate(index) > baseline + MAX_EXCESS_LOSS_RATE:
                self.max_idle_ms = IDLE_TIME_BOUNDS_MS[index - 1]
                break

    def _loss_rate(self, index: int) -> float:
        return self._losses[index] / (self._attempts[index] + PRIOR_ATTEMPTS)
