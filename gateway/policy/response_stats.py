"""How fast and how often the backends respond, over all backends together."""

import math
from dataclasses import dataclass

from .events import Outcome

TYPICAL_LATENCY_SAMPLES = 40.0
"""Responses of which the typical latency is the moving mean."""

MAX_LATENCY_RATIO = 9.0
"""Typical latencies that a sample counts for at most, and that a response of a healthy backend may take."""

MIN_RECENT_LATENCY_WEIGHT = 0.12
"""Least weight of one response in the recent latency."""

RECENT_LATENCY_DECAY_MS = 4_000.0
"""Time constant with which the recent latency decays."""

RESPONSE_RATE_DECAY_MS = 800.0
"""Time constant of the response rate."""

ABANDONED_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)
"""Outcomes of attempts that the gateway or the client stopped waiting for: the backend would have taken
longer."""


@dataclass(slots=True, eq=False)
class ResponseStats:
    """Typical and recent latency in milliseconds, and successful responses a second, as last updated."""

    typical_latency_ms: float = 0.0
    """0 until the first response."""
    recent_latency_ms: float = 0.0
    """0 until the first response."""
    latency_updated_at: float = 0.0
    sample_count: float = 0.0
    response_rate: float = 0.0
    rate_updated_at: float = 0.0

    def start(self, now: float) -> None:
        """Begin with the first event, from which on the response rate decays."""
        self.rate_updated_at = now

    def capped(self, latency_ms: float) -> float:
        """A latency, bounded so that one attempt that was lost does not make a backend look slow."""
        return (
            min(latency_ms, MAX_LATENCY_RATIO * self.typical_latency_ms)
            if self.typical_latency_ms
            else latency_ms
        )

    def decayed_recent_latency(self, now: float) -> float:
        """The recent latency in milliseconds, which decays while there are no responses."""
        return max(
            1.0, self.recent_latency_ms * math.exp((self.latency_updated_at - now) / RECENT_LATENCY_DECAY_MS)
        )

    def decayed_response_rate(self, now: float) -> float:
        """Successful responses a second, a rate that decays while there are none."""
        return self.response_rate * math.exp((self.rate_updated_at - now) / RESPONSE_RATE_DECAY_MS)

    def record(self, now: float, latency_ms: float, outcome: Outcome) -> None:
        """Record the latency of an attempt that was successful or abandoned."""
        if outcome is Outcome.OK or latency_ms > self.recent_latency_ms:
            # The weight grows with the time since the last response: with few responses, old ones would
            # otherwise keep the latency high, and requests rejected. The mean is geometric, as latencies are
            # skewed.
            weight = max(
                MIN_RECENT_LATENCY_WEIGHT,
                1 - math.exp((self.latency_updated_at - now) / RECENT_LATENCY_DECAY_MS),
            )
            previous_ms = self.recent_latency_ms or latency_ms
            self.recent_latency_ms = previous_ms * (latency_ms / previous_ms) ** weight
            self.latency_updated_at = now
        if outcome is Outcome.OK:
            self.sample_count = min(TYPICAL_LATENCY_SAMPLES, self.sample_count + 1)
            self.typical_latency_ms += (self.capped(latency_ms) - self.typical_latency_ms) / self.sample_count
            self.response_rate = self.decayed_response_rate(now) + 1000 / RESPONSE_RATE_DECAY_MS
            self.rate_updated_at = now
