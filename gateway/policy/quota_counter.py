"""The client of the counter service: creates the components that call it, and passes on its responses."""

from .actions import Actions
from .counter_calls import (
    CarryOverLeaseDebt,
    CorrectTotal,
    CounterCall,
    PendingCounterCalls,
    ReadBucketDebt,
    ReadLeaseDebt,
    ReadSharedBucket,
    RefreshLease,
)
from .counter_throttle import CounterThrottle
from .events import NOT_PROCESSED, CounterResponse, Outcome
from .lease_refresh import LeaseRefresher
from .lease_table import LeaseTable
from .requests import PendingRequest
from .settings import Settings
from .shared_bucket_reads import SharedBucketReader
from .usage_reporting import UsageReporter


class QuotaCounterClient:
    """Passes each response of the counter to the component that made the call."""

    def __init__(
        self,
        settings: Settings,
        throttle: CounterThrottle,
        leases: LeaseTable,
        requests: dict[str, PendingRequest],
    ) -> None:
        self.throttle = throttle
        self.leases = leases
        self.requests = requests
        self.calls = PendingCounterCalls()
        self.lease_refresher = LeaseRefresher(settings, self.calls, throttle)
        self.bucket_reader = SharedBucketReader(settings, self.calls, throttle)
        self.usage_reporter = UsageReporter(settings, self.calls, throttle)

    def on_response(self, now: float, response: CounterResponse, actions: Actions) -> PendingRequest | None:
        """Handle a response; return the request that waited for it and can now be decided."""
        call = self.calls.take(response)
        if call is None:
            return None
        self.throttle.record(response.outcome)
        lease = self.leases.by_customer.get(call.customer)
        if lease is None:
            return None
        request = self._waiting_request(call)
        if response.outcome in NOT_PROCESSED:  # a call that timed out may have been processed
            self.usage_reporter.restore(call, lease, request)
        if response.outcome is not Outcome.OK:
            return request
        total = response.total
        match call:
            case RefreshLease() | CarryOverLeaseDebt():
                self.lease_refresher.on_total(now, lease, call=call, total=total, actions=actions)
            case ReadLeaseDebt():
                self.lease_refresher.on_debt_read(now, lease, call=call, total=total, actions=actions)
            case CorrectTotal():
                self.bucket_reader.on_corrected(lease, call, total, actions)
            case ReadSharedBucket() if request is not None:
                is_decidable = self.bucket_reader.on_total(
                    now, request, call=call, total=total, actions=actions
                )
                return request if is_decidable else None
            case ReadBucketDebt() if request is not None:
                self.bucket_reader.on_debt_read(now, request, call=call, total=total, actions=actions)
                return request
        return None

    def on_report_timer(self, now: float, customer: str, actions: Actions) -> None:
        """Report a customer's usage, if the customer still has a lease."""
        if lease := self.leases.by_customer.get(customer):
            self.usage_reporter.on_report_timer(now, lease, actions)

    def _waiting_request(self, call: CounterCall) -> PendingRequest | None:
        """Return the request that still waits for a call; None if it was forwarded or is finished."""
        if not isinstance(call, ReadSharedBucket | ReadBucketDebt):
            return None
        request = self.requests.get(call.request_id)
        return request if request is not None and not request.attempt_count else None
