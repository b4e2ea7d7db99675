"""Takes each request from its arrival to its one final response; all times are milliseconds."""

from . import events
from .actions import Actions, Fail, Reject
from .admission import SPARE_DELAY_FRACTION, AdmissionController
from .leases import LeaseTable
from .quota_counter import QuotaCounterClient
from .requests import PendingRequest
from .retries import RetryController
from .retry_safety import is_safe_to_resend
from .settings import RequestClass, Settings

FINISH_MARGIN_MS = 50.0
"""A request gets its final response this long before its deadline, so that the response arrives in time."""

TIMER_TOLERANCE_MS = 1.0
"""A timer that fires this much earlier than it was set for counts as in time."""


class RequestLifecycle:
    """Admits, forwards and finishes requests; each gets exactly one final response."""

    def __init__(
        self,
        settings: Settings,
        leases: LeaseTable,
        counter: QuotaCounterClient,
        admission: AdmissionController,
        retries: RetryController,
    ) -> None:
        self.request_classes = {c.name: c for c in settings.request_classes}
        self.requests = counter.requests
        self.leases = leases
        self.counter = counter
        self.admission = admission
        self.balancer = retries.balancer
        self.retries = retries

    def on_arrival(self, now: float, event: events.RequestArrived, actions: Actions) -> None:
        """Take in a request; it is decided at once, unless it waits for a read of its shared bucket."""
        remaining_ms = event.deadline - now
        name = event.request_class
        request_class = self.request_classes.get(name) or RequestClass(name, remaining_ms, remaining_ms)
        lease = self.leases.lease_for(now, event)
        request = PendingRequest(
            id=event.request_id,
            request_class=request_class,
            lease=lease,
            cost=event.cost,
            is_retry=event.is_retry,
            finish_by=event.deadline - FINISH_MARGIN_MS,
            objective_at=min(event.deadline, now + request_class.latency_objective_ms),
        )
        self.requests[request.id] = request
        if lease.shared_bucket is None:
            self.counter.lease_refresher.refresh(now, request, actions)
        elif self.counter.bucket_reader.read(now, request, actions):
            return
        self._admit(now, request, actions)

    def on_client_disconnected(self, _now: float, event: events.ClientDisconnected, actions: Actions) -> None:
        """Forget a request that nobody waits for any more."""
        if request := self.requests.pop(event.request_id, None):
            self.counter.usage_reporter.refund(request, actions)

    def on_counter_response(self, now: float, event: events.CounterResponse, actions: Actions) -> None:
        """Handle a response of the counter, and decide the request that has waited for it."""
        request = self.counter.on_response(now, event, actions)
        if request is None:
            return
        self._admit(now, request, actions)
        lease = request.lease
        if event.outcome is events.Outcome.OK and lease.shared_bucket is not None:
            self.counter.usage_reporter.report(now, lease, lease.shared_bucket, actions)

    def on_attempt_ended(self, now: float, event: events.AttemptEnded, actions: Actions) -> None:
        """Finish the request of an attempt, or retry it, if no other attempt of it is in flight."""
        attempt = self.retries.end(now, event)
        if attempt is None or event.request_id not in self.requests:
            return
        request = attempt.request
        if event.request_finished or event.outcome is events.Outcome.OK:
            del self.requests[request.id]
            self.retries.cancel_all(request, actions)
        elif not request.live_attempts:
            price = 0.0 if event.outcome in events.NOT_PROCESSED else 1.0  # backends did no work for these
            if not self.retries.retry(now, request, actions, price):
                self._finish(request, actions)

    def on_timer(self, now: float, request_id: str, actions: Actions) -> None:
        """Check a request whose timer has fired, unless a later check was scheduled meanwhile."""
        request = self.requests.get(request_id)
        if request is None or now < request.check_at - TIMER_TOLERANCE_MS:
            return
        if now >= request.finish_by - TIMER_TOLERANCE_MS:
            self._finish(request, actions)  # every pending request ends here at the latest
        elif not request.attempt_count:
            self._admit(now, request, actions)  # the counter has not responded in time
        else:
            self.retries.check_overdue(now, request, actions)

    def _admit(self, now: float, request: PendingRequest, actions: Actions) -> None:
        """Forward a request if its lease, the load and the backends let it, else reject it."""
        lease = request.lease
        shortfall = request.token_shortfall()
        delay_ms = self.admission.queueing_delay(now, self.retries.attempts.values())
        relative_delay = delay_ms / max(request.request_class.latency_objective_ms, 1.0)
        self.retries.earn(has_spare_capacity=relative_delay < SPARE_DELAY_FRACTION)
        is_admitted = self.admission.admits(request, shortfall, relative_delay, now + delay_ms)
        backend = self.balancer.pick(now, request) if is_admitted else None
        if backend is None:
            self._finish(request, actions, self.admission.quota_wait(request, shortfall))
            return
        if lease.shared_bucket is not None:
            self.counter.usage_reporter.charge(request, shortfall, actions)
        lease.spend(request.cost)
        self.retries.start(now, request, backend, actions)

    def _finish(self, request: PendingRequest, actions: Actions, quota_wait_ms: float = 0.0) -> None:
        """Send the final response: a rejection only where it is safe to send the request again."""
        del self.requests[request.id]
        self.counter.usage_reporter.refund(request, actions)
        wait_ms = self.admission.retry_after(request, quota_wait_ms)
        actions.append(Reject(request.id, wait_ms) if is_safe_to_resend(request) else Fail(request.id))
        self.retries.cancel_all(request, actions)
