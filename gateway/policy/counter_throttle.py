"""Client-side throttling of the calls to the counter service.

Each gateway estimates the fraction of its calls that the counter can handle, from the outcomes of these
calls (adaptive throttling, after "Handling Overload" in Site Reliability Engineering), and skips the calls
with the least benefit. Retrying against an overloaded counter would prolong the overload.
"""

import math
import random
from enum import Enum

from .events import Outcome

CAPACITY_INCREASE = 0.005
"""Amount by which each call that succeeds raises the capacity estimates."""

CAPACITY_DECREASE_FACTOR = 0.9
"""Factor by which each call that fails lowers the capacity estimates."""

MIN_CAPACITY = 0.1
"""Minimum of the capacity estimates: without any calls, a recovery of the counter would go unnoticed."""


class ThrottleExponent(float, Enum):
    """Exponent applied to the estimated capacity; the larger it is, the more likely a call is skipped."""

    LIKELY_WITHIN_QUOTA = 0.2
    """The request is likely to be admitted, and its tokens must be reserved."""
    LIKELY_OVER_QUOTA = 4.0
    """The request is likely to be rejected, whatever the counter responds."""
    OVER_QUOTA_IS_FREE = 6.0
    """Forwarding a request beyond the quota costs no more than its revenue."""


class CounterThrottle:
    """Estimates the counter's capacity, and decides at random which calls are made."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.capacity = 1.0
        """Estimated fraction of calls that succeed, from 0 to 1."""
        self.timely_capacity = 1.0
        """Estimated fraction of calls that do not time out, from 0 to 1; timeouts lower both estimates."""

    def record(self, outcome: Outcome) -> None:
        """Update the estimates by a call's outcome: additive increase, multiplicative decrease."""
        if outcome is Outcome.OK:
            self.capacity = min(1.0, self.capacity + CAPACITY_INCREASE)
            self.timely_capacity = min(1.0, self.timely_capacity + CAPACITY_INCREASE)
            return
        self.capacity = max(MIN_CAPACITY, self.capacity * CAPACITY_DECREASE_FACTOR)
        if outcome is Outcome.TIMED_OUT:
            self.timely_capacity = max(MIN_CAPACITY, self.timely_capacity * CAPACITY_DECREASE_FACTOR)

    def permits(self, exponent: ThrottleExponent) -> bool:
        """Decide at random whether to make a call, by its exponent and both capacity estimates."""
        return self.rng.random() <= math.pow(self.capacity, exponent) * self.timely_capacity

    def permits_maintenance(self) -> bool:
        """Decide at random whether to make a call that keeps a total correct.

        Such calls are refreshes, reads of debts and corrections.
        """
        return self.rng.random() <= self.capacity

    def sampling_probability(self, minimum: float) -> float:
        """Return the probability with which to send a sampled report; at least `minimum`."""
        return max(self.capacity * self.timely_capacity, minimum)

    def permits_report(self, probability: float) -> bool:
        """Decide at random, with the given probability, whether to send a sampled report."""
        return self.rng.random() <= probability
