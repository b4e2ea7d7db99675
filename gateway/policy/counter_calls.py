"""The calls that a gateway makes to the counter service, and those that await a response.

The counter service adds numbers up under names. Each customer has one such total for each period of time. A
call adds units to the total of a period and gets the new total in its response; one that adds 0 only reads.
There is one type for each kind of call; its fields are what the handler of the response needs.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .actions import Actions, IncrementCounter
from .events import CounterResponse
from .leases import Lease

UNIT_DECIMALS = 3
"""Decimal places of a unit that a call adds."""


class RefreshLease(NamedTuple):
    """Adds the demand at this gateway, to learn the demand at all gateways of the customer."""

    customer: str
    period: int
    units: float


class ReadLeaseDebt(NamedTuple):
    """Reads the total of a period that has ended, for the units beyond its quota."""

    customer: str
    period: int

    @property
    def units(self) -> float:
        """A read adds nothing."""
        return 0.0


class CarryOverLeaseDebt(NamedTuple):
    """Adds the units that the period before went beyond its quota to the present period."""

    customer: str
    period: int
    units: float


class ReadSharedBucket(NamedTuple):
    """Reads a shared bucket for a request that waits, and spends the request's units if it is likely to pass.

    The units hold unreported usage of earlier requests, too.
    """

    customer: str
    period: int
    units: float
    request_id: str


class ReadBucketDebt(NamedTuple):
    """Reads the period before the present one for a request that waits, for the debt that it left."""

    customer: str
    period: int
    request_id: str

    @property
    def units(self) -> float:
        """A read adds nothing."""
        return 0.0


class CarryOverBucketDebt(NamedTuple):
    """Adds the debt that the period before left to the present period of a shared bucket."""

    customer: str
    period: int
    units: float


class CorrectTotal(NamedTuple):
    """Brings the total of a shared bucket back to what a real bucket can hold."""

    customer: str
    period: int
    units: float
    expected_total: float
    """The total after it, unless another gateway has corrected the total at the same time."""


class UndoCorrection(NamedTuple):
    """Takes back a correction that another gateway has made as well."""

    customer: str
    period: int
    units: float


class ReportUsage(NamedTuple):
    """Adds unreported usage of a shared bucket; negative for units that were reported and not spent."""

    customer: str
    period: int
    units: float


CounterCall = (
    RefreshLease
    | ReadLeaseDebt
    | CarryOverLeaseDebt
    | ReadSharedBucket
    | ReadBucketDebt
    | CarryOverBucketDebt
    | CorrectTotal
    | UndoCorrection
    | ReportUsage
)


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
