"""Refreshes the leases that are spent locally.

A gateway adds the demand that it received, rejected requests included, to the customer's total of the period.
The response holds the demand at all gateways, by which the lease is resized. Demand beyond the quota of a
period is a debt, which the gateway that makes the first call of the next period carries over.
"""

from .actions import Actions
from .counter_calls import (
    UNIT_DECIMALS,
    CarryOverLeaseDebt,
    PendingCounterCalls,
    ReadLeaseDebt,
    RefreshLease,
)
from .counter_throttle import CounterThrottle
from .leases import TOTAL_TOLERANCE, Lease
from .requests import PendingRequest
from .settings import Settings


class LeaseRefresher:
    """Refreshes leases, as often as the counter's estimated capacity allows."""

    def __init__(self, settings: Settings, calls: PendingCounterCalls, throttle: CounterThrottle) -> None:
        self.settings = settings
        self.calls = calls
        self.throttle = throttle

    def refresh(self, now: float, request: PendingRequest, actions: Actions) -> None:
        """Record the demand of a request, and report it if a refresh is due.

        Reports are sampled: a call is made with a probability p and its units are scaled by 1/p, so that
        totals stay unbiased while an overloaded counter gets fewer calls.
        """
        lease = request.lease
        lease.record_usage(request.cost)
        if now < lease.fresh_until or not self.settings.counter_available or not lease.plan.rate:
            return
        units = lease.take_unreported_usage() / self.throttle.capacity
        if not self.throttle.permits_maintenance():
            return
        lease.begin_refresh(now)
        call = RefreshLease(lease.customer, int(now // lease.period_ms), round(units, UNIT_DECIMALS))
        self._send(lease, call, actions)

    def on_total(
        self,
        now: float,
        lease: Lease,
        call: RefreshLease | CarryOverLeaseDebt,
        total: float,
        actions: Actions,
    ) -> None:
        """Resize a lease by the total of its period.

        If the call was the first of its period, the debt of the previous period is read first.
        """
        if total <= call.units + TOTAL_TOLERANCE and self.throttle.permits_maintenance():
            self.calls.send(lease, ReadLeaseDebt(lease.customer, call.period - 1), actions)
            return
        lease.resize(now, call.period, call.units, total)

    def on_debt_read(
        self, now: float, lease: Lease, call: ReadLeaseDebt, total: float, actions: Actions
    ) -> None:
        """Carry the debt of a period over to the next one; without a debt, the next total starts at 0."""
        period = call.period + 1
        debt = min(lease.plan.burst, total - lease.plan.rate * lease.period_ms / 1000)
        if debt > 0:
            self._send(lease, CarryOverLeaseDebt(lease.customer, period, round(debt, UNIT_DECIMALS)), actions)
            return
        lease.resize(now, period, 0.0, 0.0)

    def _send(self, lease: Lease, call: RefreshLease | CarryOverLeaseDebt, actions: Actions) -> None:
        """Send a call; a call without units is replaced by `ReadLeaseDebt` for the same period."""
        self.calls.send(lease, call if call.units else ReadLeaseDebt(lease.customer, call.period), actions)
