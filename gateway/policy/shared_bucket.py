"""A customer's token bucket that many gateways share, kept as totals on the counter service.

A token bucket holds up to `burst` units and gains `rate` units a second. The counter service only adds
numbers up, so the bucket is kept as a total for each period of time: the units spent in the period, plus the
debt carried over from the previous one. The bucket's level follows from that total and the time alone, so one
call both spends units and reads the level.
"""

import hashlib
from dataclasses import dataclass

PERIOD_MS = 15_000.0
"""Length of a period. A total is read in its period and the next; the counter keeps it for a minute."""

RETAINED_PERIODS = 4
"""Number of periods for which the counter keeps a total."""

TOTAL_RETENTION_MS = RETAINED_PERIODS * PERIOD_MS
"""How long the counter keeps a total, counted from its first call."""


def counter_key(customer: str) -> str:
    """Return the hash that stands for a customer in the names of totals, the same at all gateways.

    A hash is used because customers' own names may be long.
    """
    return hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class SharedTokenBucket:
    """The token bucket of one customer; `now` is in milliseconds on the host's clock."""

    offset_ms: float
    """Milliseconds by which the customer's periods begin early. If all customers' periods began at the same
    time, all calls that carry debts over would be made at that time, too."""
    rate: float
    """Units gained per second."""
    burst: float
    """Units that the bucket holds at most."""

    @classmethod
    def for_customer(cls, customer: str, rate: float, burst: float) -> "SharedTokenBucket":
        """Return the bucket of a customer, the same at all gateways."""
        offset_ms = int(counter_key(customer)[:8], 16) % int(PERIOD_MS)
        return cls(float(offset_ms), rate, burst)

    def period(self, now: float) -> int:
        """Return the number of the current period."""
        return int((now + self.offset_ms) // PERIOD_MS)

    def level(self, now: float, period: int, spent: float) -> float:
        """Return the units held; idle time raises them above the burst, where a real bucket stops filling."""
        accrued = self.rate * max(0.0, now + self.offset_ms - period * PERIOD_MS) / 1000
        return self.burst + accrued - spent

    def debt(self, spent: float) -> float:
        """Return the units spent in a complete period beyond those accrued, to carry over to the next one."""
        return min(self.burst, max(0.0, spent - self.rate * PERIOD_MS / 1000))

    def refill_time_ms(self, units: float) -> float:
        """Return the time in milliseconds in which the bucket accrues the given units."""
        return max(0.0, units) * 1000 / max(self.rate, 1e-9)
