"""How fast and how often the backends respond, over all backends together."""

import math
from dataclasses import dataclass

from .events import Outcome

TYPICAL_SAMPLES = 40.0
"""Responses of which the typical latency is the moving mean."""

MAX_LATENCY_RATIO = 9.0
"""Typical latencies that a sample counts for at most, and that a response of a healthy backend may take."""

RECENT_WEIGHT = 0.12
"""Least weight of one response in the recent latency."""

RECENT_MEMORY_MS = 4_000.0
"""Time constant with which the recent latency decays."""

RATE_MEMORY_MS = 800.0
"""Time constant of the response rate."""

ABANDONED = (Outcome.TIMED_OUT, Outcome.CANCELLED)
"""Outcomes of attempts that the gateway or the client stopped waiting for: the backend would have taken
longer."""


@dataclass(slots=True, eq=False)
class ResponseStats:
    """Typical and recent latency in milliseconds, and successful responses a second, as last updated."""

    typical_ms: float = 0.0
    """0 until the first response."""
    recent_ms: float = 0.0
    """0 until the first response."""
    recent_at: float = 0.0
    sample_count: float = 0.0
    response_rate: float = 0.0
    responded_at: float = 0.0

    def start(self, now: float) -> None:
        """Begin with the first event, from which on the response rate decays."""
        self.responded_at = now

    def cap(self, latency_ms: float) -> float:
        """A latency, bounded so that one attempt that was lost does not make a backend look slow."""
        return min(latency_ms, MAX_LATENCY_RATIO * self.typical_ms) if self.typical_ms else latency_ms

    def recent_latency(self, now: float) -> float:
        """The recent latency in milliseconds, which decays while there are no responses."""
        return max(1.0, self.recent_ms * math.exp((self.recent_at - now) / RECENT_MEMORY_MS))

    def rate(self, now: float) -> float:
        """Successful responses a second, a rate that decays while there are none."""
        return self.response_rate * math.exp((self.responded_at - now) / RATE_MEMORY_MS)

    def record(self, now: float, latency_ms: float, outcome: Outcome) -> None:
        """Record the latency of an attempt that was successful or abandoned."""
        if outcome is Outcome.OK or latency_ms > self.recent_ms:
            # The weight grows with the time since the last response: with few responses, old ones would
            # otherwise keep the latency high, and requests rejected. The mean is geometric, as latencies are
            # skewed.
            weight = max(RECENT_WEIGHT, 1 - math.exp((self.recent_at - now) / RECENT_MEMORY_MS))
            before = self.recent_ms or latency_ms
            self.recent_ms = before * (latency_ms / before) ** weight
            self.recent_at = now
        if outcome is Outcome.OK:
            self.sample_count = min(TYPICAL_SAMPLES, self.sample_count + 1)
            self.typical_ms += (self.cap(latency_ms) - self.typical_ms) / self.sample_count
            self.response_rate = self.rate(now) + 1000 / RATE_MEMORY_MS
            self.responded_at = now
