"""The calls that a gateway makes to the counter service, and those that await a response.

The counter service adds numbers up under names. Each customer has one such total for each period of time. A
call adds units to the total of a period and gets the new total in its response; one that adds 0 only reads.
There is one type for each kind of call; its fields are what the handler of the response needs.
"""

from __future__ import annotations

from collections import deque

from .actions import Actions, IncrementCounter
from .events import CounterResponse
from .leases import Lease

UNIT_DECIMALS = 3
"""Decimal places of a unit that a call adds."""


class CounterCall:
    """A call to the counter; the base of all kinds.

    The kinds are plain classes, not dataclasses or named tuples: those generate and compile their methods at
    import, which would lengthen the start of a gateway.
    """

    __slots__ = ("customer", "period", "units")

    def __init__(self, customer: str, period: int, units: float = 0.0) -> None:
        self.customer = customer
        self.period = period
        self.units = units


class RefreshLease(CounterCall):
    """Adds the demand at this gateway, to learn the demand at all gateways of the customer."""

    __slots__ = ()


class ReadLeaseDebt(CounterCall):
    """Reads the total of a period that has ended, for the units beyond its quota."""

    __slots__ = ()


class CarryOverLeaseDebt(CounterCall):
    """Adds the units that the period before went beyond its quota to the present period."""

    __slots__ = ()


class ReadSharedBucket(CounterCall):
    """Reads a shared bucket for a request that waits, and spends the request's units if it is likely to pass.

    The units hold unreported usage of earlier requests, too.
    """

    __slots__ = ("request_id",)

    def __init__(self, customer: str, period: int, units: float, request_id: str) -> None:
        super().__init__(customer, period, units)
        self.request_id = request_id


class ReadBucketDebt(CounterCall):
    """Reads the period before the present one for a request that waits, for the debt that it left."""

    __slots__ = ("request_id",)

    def __init__(self, customer: str, period: int, request_id: str) -> None:
        super().__init__(customer, period)
        self.request_id = request_id


class CarryOverBucketDebt(CounterCall):
    """Adds the debt that the period before left to the present period of a shared bucket."""

    __slots__ = ()


class CorrectTotal(CounterCall):
    """Brings the total of a shared bucket back to what a real bucket can hold.

    `expected_total` is the total after it, unless another gateway corrects the total at the same time.
    """

    __slots__ = ("expected_total",)

    def __init__(self, customer: str, period: int, units: float, expected_total: float) -> None:
        super().__init__(customer, period, units)
        self.expected_total = expected_total


class UndoCorrection(CounterCall):
    """Takes back a correction that another gateway has made as well."""

    __slots__ = ()


class ReportUsage(CounterCall):
    """Adds unreported usage of a shared bucket; negative for units that were reported and not spent."""

    __slots__ = ()


class PendingCounterCalls:
    """The calls that await a response; the counter responds to those of one name in their order."""

    def __init__(self) -> None:
        self.by_name: dict[str, deque[CounterCall]] = {}

    def send(self, lease: Lease, call: CounterCall, actions: Actions) -> None:
        """Make a call."""
        name = f"{call.period}:{lease.counter_key}"
        self.by_name.setdefault(name, deque()).append(call)
        actions.append(IncrementCounter(name, call.units, lease.total_lifetime_ms))

    def take(self, response: CounterResponse) -> CounterCall | None:
        """Remove and return the call that a response belongs to; None if no call of that name is open."""
        pending = self.by_name.get(response.name)
        if not pending:
            return None
        call = pending.popleft()
        if not pending:
            del self.by_name[response.name]
        return call
