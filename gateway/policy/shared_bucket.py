"""A customer's token bucket that many gateways share, kept as one total on the counter service.

A token bucket holds up to `burst` units and gains `rate` units a second. The counter service only adds
numbers up, so the bucket is kept as a total for each period of time: the units spent in it, and the debt
carried over from the period before. The level follows from that total and the time alone, so one call both
spends units and reads it.
"""

import hashlib
from dataclasses import dataclass

PERIOD_MS = 15_000.0
"""Length of a period: the counter keeps a total for a minute, and the period before has to be read, too."""

RETAINED_PERIODS = 4
"""Periods for which the counter keeps a total."""

TOTAL_RETENTION_MS = RETAINED_PERIODS * PERIOD_MS
"""How long the counter keeps a total, from its first call."""


def counter_key(customer: str) -> str:
    """The customer's part of the counter's names, the same at all gateways; customers' own may be long."""
    return hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class SharedTokenBucket:
    """The token bucket of one customer; `now` is milliseconds on the policy's clock."""

    offset_ms: float
    """Milliseconds by which its periods begin early: if all customers' began at once, so would the calls that
    carry debts over."""
    rate: float
    """Units a second."""
    burst: float
    """Units."""

    @classmethod
    def for_customer(cls, customer: str, rate: float, burst: float) -> "SharedTokenBucket":
        """The bucket of a customer, the same at all gateways."""
        offset_ms = int(counter_key(customer)[:8], 16) % int(PERIOD_MS)
        return cls(float(offset_ms), rate, burst)

    def period(self, now: float) -> int:
        """The number of the present period."""
        return int((now + self.offset_ms) // PERIOD_MS)

    def level(self, now: float, period: int, spent: float) -> float:
        """Units held; over the burst where the customer was idle, which fills a real bucket no further."""
        accrued = self.rate * max(0.0, now + self.offset_ms - period * PERIOD_MS) / 1000
        return self.burst + accrued - spent

    def debt(self, spent: float) -> float:
        """Units spent in a complete period beyond what it accrued, carried over to the next one."""
        return min(self.burst, max(0.0, spent - self.rate * PERIOD_MS / 1000))

    def refill_time_ms(self, units: float) -> float:
        """Milliseconds in which the bucket accrues so many units."""
        return max(0.0, units) * 1000 / max(self.rate, 1e-9)
