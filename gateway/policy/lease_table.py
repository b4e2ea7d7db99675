"""The table of the customers that this gateway has lately met. Nothing here decides a request."""

from .events import RequestArrived
from .leases import LEASE_MS, Lease
from .settings import Plan, Settings


class LeaseTable:
    """The leases of the customers that this gateway has lately met."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_customer: dict[str, Lease] = {}
        self.started_at = self.swept_at = 0.0

    def start(self, now: float) -> None:
        """Begin with the first event."""
        self.started_at = self.swept_at = now

    def lease_for(self, now: float, event: RequestArrived) -> Lease:
        """The lease of a request's customer, refilled, or a new one."""
        if now - self.swept_at > LEASE_MS:
            self._forget_idle(now)
        lease = self.by_customer.get(event.customer)
        if lease is None:
            plan = self.plans.get(event.plan) or Plan(event.plan)  # an unknown plan has no quota to keep
            lease = Lease(event, plan, self.settings.max_request_cost, now - self.started_at, now)
            self.by_customer[event.customer] = lease
        lease.refill(now)
        return lease

    def _forget_idle(self, now: float) -> None:
        kept = [c for c in self.by_customer.values() if c.in_flight or now - c.refilled_at <= c.retention_ms]
        self.by_customer = {lease.key: lease for lease in kept}
        self.swept_at = now
