"""The kinds of calls to the counter service, and the calls that await a response.

The counter service adds numbers up under names. It keeps one total for each customer and period of time. A
call adds units to the total of a period, and its response holds the new total; a call that adds 0 only reads.
Each kind of call has a class, whose fields are what the handler of the response needs.
"""

from __future__ import annotations

from collections import deque

from .actions import Actions, IncrementCounter
from .events import CounterResponse
from .leases import Lease

UNIT_DECIMALS = 3
"""Decimal places to which the units of a call are rounded."""


class CounterCall:
    """Base class of all calls to the counter.

    The calls are plain classes because dataclasses and named tuples generate and compile their methods at
    import, which would lengthen the start of a gateway.
    """

    __slots__ = ("customer", "period", "units")

    def __init__(self, customer: str, period: int, units: float = 0.0) -> None:
        self.customer = customer
        self.period = period
        self.units = units


class RefreshLease(CounterCall):
    """Adds the customer's demand at this gateway, to get the demand at all gateways."""

    __slots__ = ()


class ReadLeaseDebt(CounterCall):
    """Reads the total of a period that has ended, to find the units beyond its quota."""

    __slots__ = ()


class CarryOverLeaseDebt(CounterCall):
    """Adds the units by which the previous period exceeded its quota to the current period."""

    __slots__ = ()


class ReadSharedBucket(CounterCall):
    """Reads a shared bucket for a waiting request; spends the request's units if it is likely to be admitted.

    The units also include unreported usage of earlier requests.
    """

    __slots__ = ("request_id",)

    def __init__(self, customer: str, period: int, units: float, request_id: str) -> None:
        super().__init__(customer, period, units)
        self.request_id = request_id


class ReadBucketDebt(CounterCall):
    """Reads the total of the previous period for a waiting request, to find the debt that the period left."""

    __slots__ = ("request_id",)

    def __init__(self, customer: str, period: int, request_id: str) -> None:
        super().__init__(customer, period)
        self.request_id = request_id


class CarryOverBucketDebt(CounterCall):
    """Adds the debt that the previous period left to the current period of a shared bucket."""

    __slots__ = ()


class CorrectTotal(CounterCall):
    """Corrects the total of a shared bucket to what a real bucket can hold.

    `expected_total` is the total after the correction, unless another gateway makes one at the same time.
    """

    __slots__ = ("expected_total",)

    def __init__(self, customer: str, period: int, units: float, expected_total: float) -> None:
        super().__init__(customer, period, units)
        self.expected_total = expected_total


class UndoCorrection(CounterCall):
    """Undoes a correction that another gateway has made as well."""

    __slots__ = ()


class ReportUsage(CounterCall):
    """Adds unreported usage of a shared bucket; the units are negative if more was reported than spent."""

    __slots__ = ()


class PendingCounterCalls:
    """The calls that await a response; the counter responds to calls of the same name in their order."""

    def __init__(self) -> None:
        self.by_name: dict[str, deque[CounterCall]] = {}

    def send(self, lease: Lease, call: CounterCall, actions: Actions) -> None:
        """Send a call and record that it awaits a response."""
        name = f"{call.period}:{lease.counter_key}"
        self.by_name.setdefault(name, deque()).append(call)
        actions.append(IncrementCounter(name, call.units, lease.total_lifetime_ms))

    def take(self, response: CounterResponse) -> CounterCall | None:
        """Remove and return the call that a response belongs to; None if no call of that name awaits one."""
        pending = self.by_name.get(response.name)
        if not pending:
            return None
        call = pending.popleft()
        if not pending:
            del self.by_name[response.name]
        return call
