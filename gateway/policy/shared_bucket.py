"""A customer's token bucket that many gateways share, kept as one number on the counter service.

The number of a period holds the units spent in it, and what the period before left owed. Time pays it back:
what the bucket holds follows from the number and the time alone, so one call both spends and tells. Pure
arithmetic; when to call and what to do with the answer is decided in gateway/policy/policy.py.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

PERIOD_MS = 15_000.0  # at most half of the minute that the counter remembers a name: the last one is read too
MEMORY_MS = 4 * PERIOD_MS  # a number's life, from its first call


@dataclass(frozen=True, slots=True)
class SharedTokenBucket:
    key: str  # of the customer on the counter
    offset: float  # of its periods: those of all customers together would end, and be carried over, at once
    rate: float  # units a second
    burst: float

    @classmethod
    def of(cls, customer: str, rate: float, burst: float) -> SharedTokenBucket:
        digest = hashlib.blake2b(customer.encode(), digest_size=16)  # customers' names may be long
        offset = int.from_bytes(digest.digest()[:4], "big") % int(PERIOD_MS)
        return cls(digest.hexdigest(), float(offset), rate, burst)

    def name(self, period: int) -> str:
        return f"{period}:{self.key}"

    def period(self, now: float) -> int:
        return int((now + self.offset) // PERIOD_MS)

    def paid(self, now: float, period: int) -> float:
        """Units that time has paid back since a period began."""
        return self.rate * max(0.0, now + self.offset - period * PERIOD_MS) / 1000

    def level(self, now: float, period: int, spent: float) -> float:
        """Units held; over the burst where the customer was idle, which fills a real bucket no further."""
        return self.burst + self.paid(now, period) - spent

    def owed(self, spent: float) -> float:
        """What a whole period left to be paid back in the next one."""
        return min(self.burst, max(0.0, spent - self.rate * PERIOD_MS / 1000))

    def wait(self, units: float) -> float:
        """Milliseconds until time has paid so many units."""
        return max(0.0, units) * 1000 / max(self.rate, 1e-9)
