"""Latency and rate of the responses of all backends together."""

import math
from dataclasses import dataclass

from .events import Outcome

TYPICAL_LATENCY_SAMPLES = 40.0
"""Number of responses over which the typical latency is a moving mean."""

MAX_LATENCY_RATIO = 9.0
"""Latency, as a multiple of the typical latency, at which samples are capped; also the timeout of an attempt
at a healthy backend."""

MIN_RECENT_LATENCY_WEIGHT = 0.12
"""Minimum weight of one response in the recent latency."""

RECENT_LATENCY_DECAY_MS = 4_000.0
"""Time constant of the recent latency's exponential decay."""

RESPONSE_RATE_DECAY_MS = 800.0
"""Time constant of the response rate's exponential decay."""

ABANDONED_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)
"""Outcomes of attempts whose response the gateway or the client no longer waited for: the backend would have
taken longer."""


@dataclass(slots=True, eq=False)
class ResponseStats:
    """Typical and recent latency, and successful responses per second, each as of its last update."""

    typical_latency_ms: float = 0.0
    """Moving mean of the latency of successful responses; 0 until the first one."""
    recent_latency_ms: float = 0.0
    """Weighted geometric mean of recent latencies; 0 until the first sample."""
    latency_updated_at: float = 0.0
    sample_count: float = 0.0
    response_rate: float = 0.0
    rate_updated_at: float = 0.0

    def start(self, now: float) -> None:
        """Start at the time of the first event, from which the response rate decays."""
        self.rate_updated_at = now

    def capped(self, latency_ms: float) -> float:
        """Return a latency, capped so that one lost attempt does not make a backend look slow."""
        return (
            min(latency_ms, MAX_LATENCY_RATIO * self.typical_latency_ms)
            if self.typical_latency_ms
            else latency_ms
        )

    def decayed_recent_latency(self, now: float) -> float:
        """Return the recent latency in milliseconds; it decays while there are no responses."""
        return max(
            1.0, self.recent_latency_ms * math.exp((self.latency_updated_at - now) / RECENT_LATENCY_DECAY_MS)
        )

    def decayed_response_rate(self, now: float) -> float:
        """Return the rate of successful responses per second; it decays while there are none."""
        return self.response_rate * math.exp((self.rate_updated_at - now) / RESPONSE_RATE_DECAY_MS)

    def record(self, now: float, latency_ms: float, outcome: Outcome) -> None:
        """Record the latency of a successful or abandoned attempt."""
        if outcome is Outcome.OK or latency_ms > self.recent_latency_ms:
            # The weight grows with the time since the last response. Otherwise, with few responses, old
            # ones would keep the latency high, so that requests would still be rejected. The mean is
            # geometric because the distribution of latencies is skewed.
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
