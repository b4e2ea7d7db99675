"""Estimate of how long an idle connection may be kept before a request on it is likely to be lost."""

from __future__ import annotations

import bisect
import math

AGE_LIMITS_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, math.inf)
"""Upper bounds of the idle times that are counted together, in milliseconds; doubled from one to the next."""

NEW_CONNECTION = -1
"""Index of the counts of requests on new connections: the last, behind those of `AGE_LIMITS_MS`."""

PRIOR_ATTEMPTS = 5.0
"""Successful requests assumed for each idle time, so that a first loss does not decide."""

MAX_EXCESS_LOSS = 0.15
"""Share of requests that may be lost beyond the share on new connections before an idle time is avoided."""

DECAY_FACTOR = 0.9
"""Share of each count that is left after a decay (one a second): a longer idle time is then tried again."""


class IdleLossEstimator:
    """Learns from the fate of requests how long connections may be idle before they are used again.

    Backends close idle connections at the latest after the keep-alive time of the settings, but some of
    them, or a middlebox on the way, drop them unannounced much earlier. Where more requests are lost from
    some idle time on than on new connections, connections are used no longer than that.
    """

    __slots__ = ("_attempts", "_losses", "limit_ms")

    def __init__(self) -> None:
        self._attempts = [0.0] * (len(AGE_LIMITS_MS) + 1)
        self._losses = [0.0] * (len(AGE_LIMITS_MS) + 1)
        self.limit_ms = AGE_LIMITS_MS[-1]
        """Milliseconds from which on an idle connection is not used again; infinite if none are known."""

    def record(self, idle_ms: float | None, *, is_lost: bool) -> None:
        """Count a request whose connection was idle for `idle_ms` before it; None: the connection was new."""
        if idle_ms is None:
            index = NEW_CONNECTION
        else:
            index = bisect.bisect_left(AGE_LIMITS_MS, idle_ms, hi=len(AGE_LIMITS_MS) - 1)
        self._attempts[index] += 1
        if is_lost:
            self._losses[index] += 1
            self._update_limit()

    def decay(self) -> None:
        """Reduce the weight of what was recorded; to be called once a second."""
        self._attempts = [DECAY_FACTOR * count for count in self._attempts]
        self._losses = [DECAY_FACTOR * count for count in self._losses]
        self._update_limit()

    def _update_limit(self) -> None:
        baseline = self._loss_share(NEW_CONNECTION)
        self.limit_ms = AGE_LIMITS_MS[-1]
        for index in range(1, len(AGE_LIMITS_MS)):
            if self._loss_share(index) > baseline + MAX_EXCESS_LOSS:
                self.limit_ms = AGE_LIMITS_MS[index - 1]
                break

    def _loss_share(self, index: int) -> float:
        return self._losses[index] / (self._attempts[index] + PRIOR_ATTEMPTS)
