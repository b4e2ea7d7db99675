"""How fast and how often the backends respond, over all backends together."""

import math
from dataclasses import dataclass

from .events import Outcome

TYPICAL_SAMPLES = 40.0  # responses that the typical latency is the mean of
MAX_LATENCY_RATIO = 9.0  # typical latencies that a sample counts for at most, and a healthy backend may take
RECENT_WEIGHT = 0.12  # least weight of one response in the recent latency
RECENT_MEMORY_MS = 4_000.0  # the recent latency fades to a third in this time
RATE_MEMORY_MS = 800.0  # memory of the response rate: steady, yet quick to follow a shift
GIVEN_UP = (Outcome.TIMED_OUT, Outcome.CANCELLED)  # by this gateway or the client: the work took longer yet


@dataclass(slots=True, eq=False)
class ResponseStats:
    """Typical and recent latency in milliseconds, and successful responses a second, as last updated."""

    typical_ms: float = 0.0  # 0 until the first response, as the next
    recent_ms: float = 0.0
    recent_at: float = 0.0
    sample_count: float = 0.0
    response_rate: float = 0.0
    responded_at: float = 0.0

    def cap(self, latency_ms: float) -> float:
        """A latency as far as it counts as a sample.

        Danger: one attempt lost on the way would look like a backend slow beyond use.
        """
        return min(latency_ms, MAX_LATENCY_RATIO * self.typical_ms) if self.typical_ms else latency_ms

    def recent_latency(self, now: float) -> float:
        """The recent latency in milliseconds, fading while nothing responds."""
        return max(1.0, self.recent_ms * math.exp((self.recent_at - now) / RECENT_MEMORY_MS))

    def rate(self, now: float) -> float:
        """Successful responses a second, fading while there are none."""
        return self.response_rate * math.exp((self.responded_at - now) / RATE_MEMORY_MS)

    def record(self, now: float, latency_ms: float, outcome: Outcome) -> None:
        """Take in the latency of an attempt that was successful or given up."""
        if outcome is Outcome.OK or latency_ms > self.recent_ms:
            # Danger: old responses outweigh few new ones, and rejections stay. Logarithms, as few are long.
            weight = max(RECENT_WEIGHT, 1 - math.exp((self.recent_at - now) / RECENT_MEMORY_MS))
            before = self.recent_ms or latency_ms
            self.recent_ms = before * (latency_ms / before) ** weight
            self.recent_at = now
        if outcome is Outcome.OK:
            self.sample_count = min(TYPICAL_SAMPLES, self.sample_count + 1)
            self.typical_ms += (self.cap(latency_ms) - self.typical_ms) / self.sample_count
            self.response_rate = self.rate(now) + 1000 / RATE_MEMORY_MS
            self.responded_at = now
