"""Estimate of how long an idle connection may be kept before a request on it is likely to be lost."""

from __future__ import annotations

import bisect
import math

IDLE_TIME_BOUNDS_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, math.inf)
"""Upper bounds of the idle times that are counted together, in milliseconds."""

NEW_CONNECTION_INDEX = -1
"""Index of the counts of requests on new connections, after those of `IDLE_TIME_BOUNDS_MS`."""

PRIOR_ATTEMPTS = 5.0
"""Successful requests assumed for each idle time: a first loss must not set the limit."""

MAX_EXCESS_LOSS_RATE = 0.15
"""Fraction of requests lost, in excess of that on new connections, above which an idle time is avoided."""

DECAY_FACTOR = 0.9
"""Factor on each count at a decay, one a second: as losses fade, longer idle times are allowed again."""


class IdleLossEstimator:
    """Learns from lost requests how long connections may be idle before they are reused.

    Backends keep idle connections for the keep-alive time of the settings, but some of them, or a middlebox
    in between, drop them earlier and without notice. The limit is the least idle time from which on clearly
    more requests are lost than on new connections.
    """

    __slots__ = ("_attempts", "_losses", "max_idle_ms")

    def __init__(self) -> None:
        self._attempts = [0.0] * (len(IDLE_TIME_BOUNDS_MS) + 1)
        self._losses = [0.0] * (len(IDLE_TIME_BOUNDS_MS) + 1)
        self.max_idle_ms = IDLE_TIME_BOUNDS_MS[-1]
        """Idle time, in milliseconds, from which on a connection is not reused; infinite without a limit."""

    def record(self, idle_ms: float | None, *, is_lost: bool) -> None:
        """Count a request whose connection was idle for `idle_ms` before it, or was new if that is None."""
        if idle_ms is None:
            index = NEW_CONNECTION_INDEX
        else:
            index = bisect.bisect_left(IDLE_TIME_BOUNDS_MS, idle_ms, hi=len(IDLE_TIME_BOUNDS_MS) - 1)
        self._attempts[index] += 1
        if is_lost:
            self._losses[index] += 1
            self._update_max_idle_ms()

    def decay(self) -> None:
        """Decay the counts; to be called once a second."""
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
