"""The table of a gateway's leases, by customer, with a bound on their number; times are in milliseconds."""

import math
from itertools import islice

from .events import RequestArrived
from .leases import LEASE_MS, Lease
from .settings import Plan, Settings

MAX_EVICTION_CHECKS = 8
"""Maximum number of leases that are checked to make room for one; the next call continues behind them."""


class LeaseTable:
    """The leases of the customers that have recently sent requests to this gateway.

    `max_leases` bounds their number, because clients can send requests of any number of customers.
    """

    def __init__(self, settings: Settings, max_leases: float = math.inf) -> None:
        self.settings = settings
        self.max_leases = max_leases
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_customer: dict[str, Lease] = {}
        self.started_at = self.swept_at = 0.0

    def start(self, now: float) -> None:
        """Set the start time, which is that of the first event."""
        self.started_at = self.swept_at = now

    def lease_for(self, now: float, event: RequestArrived) -> Lease | None:
        """Return the refilled lease of a request's customer; create it if there is none.

        Returns None if the table is full of leases that cannot be forgotten.
        """
        if now - self.swept_at > LEASE_MS:
            self._evict_idle_leases(now)
        lease = self.by_customer.get(event.customer)
        if lease is None:
            if len(self.by_customer) >= self.max_leases and not self._forget_one(now):
                return None
            lease = Lease(
                event,
                plan=self.plans.get(event.plan) or Plan(event.plan),  # an unknown plan has no quota
                largest_cost=self.settings.max_request_cost,
                uptime_ms=now - self.started_at,
                now=now,
            )
            self.by_customer[event.customer] = lease
        lease.refill(now)
        return lease

    def _forget_one(self, now: float) -> bool:
        """Remove a lease that can be forgotten, and return whether one was found.

        Second chance: leases that must be kept go behind all others, so that the oldest ones come first.
        """
        for customer in list(islice(self.by_customer, MAX_EVICTION_CHECKS)):
            lease = self.by_customer.pop(customer)
            if lease.can_be_forgotten(now):
                return True
            self.by_customer[customer] = lease
        return False

    def _evict_idle_leases(self, now: float) -> None:
        """Remove leases that have no attempt in flight and had no request within their retention time."""
        active = [
            lease
            for lease in self.by_customer.values()
            if lease.in_flight or now - lease.refilled_at <= lease.retention_ms
        ]
        self.by_customer = {lease.customer: lease for lease in active}
        self.swept_at = now
