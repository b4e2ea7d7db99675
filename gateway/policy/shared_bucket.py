"""A customer's token bucket that many gateways share, kept as one total on the counter service.

The total of a period holds the units spent in it, and what the period before left owed. Time pays it back:
what the bucket holds follows from the total and the time alone, so one call both spends and reads.
"""

import hashlib
from dataclasses import dataclass

PERIOD_MS = 15_000.0  # at most half of the minute that the counter keeps a name: the last one is read too
MEMORY_MS = 4 * PERIOD_MS  # a total's life, from its first call


def counter_key(customer: str) -> str:
    """The customer's part of the counter's names, the same at all gateways; customers' own may be long."""
    return hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class SharedTokenBucket:
    """The token bucket of one customer; `now` is milliseconds on the policy's clock."""

    offset: float  # of its periods: those of all customers together would end, and be carried over, at once
    rate: float  # units a second
    burst: float

    @classmethod
    def of(cls, customer: str, rate: float, burst: float) -> "SharedTokenBucket":
        """The bucket of a customer, the same at all gateways."""
        offset = int(counter_key(customer)[:8], 16) % int(PERIOD_MS)
        return cls(float(offset), rate, burst)

    def period(self, now: float) -> int:
        """The number of the present period."""
        return int((now + self.offset) // PERIOD_MS)

    def level(self, now: float, period: int, spent: float) -> float:
        """Units held; over the burst where the customer was idle, which fills a real bucket no further."""
        paid = self.rate * max(0.0, now + self.offset - period * PERIOD_MS) / 1000
        return self.burst + paid - spent

    def owed(self, spent: float) -> float:
        """What a whole period left to be paid back in the next one."""
        return min(self.burst, max(0.0, spent - self.rate * PERIOD_MS / 1000))

    def wait(self, units: float) -> float:
        """Milliseconds until time has paid so many units."""
        return max(0.0, units) * 1000 / max(self.rate, 1e-9)
