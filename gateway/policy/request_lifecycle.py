"""The steps of a request from its arrival to its one final response; all times are milliseconds."""

from . import events
from .actions import Actions, Fail, Reject
from .admission import SPARE_DELAY_FRACTION, AdmissionController
from .lease_table import LeaseTable
from .quota_counter import QuotaCounterClient
from .requests import PendingRequest
from .retries import RetryController
from .retry_safety import is_safe_to_resend
from .settings import RequestClass, Settings

FINISH_MARGIN_MS = 50.0
"""Milliseconds before its deadline at which a request that is still pending gets its final response, so that
the response arrives in time."""

TIMER_TOLERANCE_MS = 1.0
"""Milliseconds by which a timer may fire early and still count as on time."""


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
        """Register a request; admit or reject it at once, unless its shared bucket must be read first."""
        remaining_ms = event.deadline - now
        name = event.request_class
        request_class = self.request_classes.get(name) or RequestClass(name, remaining_ms, remaining_ms)
        lease = self.leases.lease_for(now, event)
        if lease is None:  # too many customers; nothing is known of this one's quota
            actions.append(Reject(event.request_id, self.admission.overload_retry_after(request_class)))
            return
        request = PendingRequest(
            id=event.request_id,
            request_class=request_class,
            lease=lease,
            cost=event.cost,
            is_retry=event.is_retry,
            finish_by=event.deadline - FINISH_MARGIN_MS,
            latency_objective_at=min(event.deadline, now + request_class.latency_objective_ms),
        )
        self.requests[request.id] = request
        if lease.shared_bucket is None:
            self.counter.lease_refresher.refresh(now, request, actions)
        elif self.counter.bucket_reader.read(now, request, actions):
            return
        self._admit(now, request, actions)

    def overload_retry_after(self, request_class: str) -> float:
        """Return the milliseconds after which a client should retry a request that is rejected unseen."""
        return self.admission.overload_retry_after(self.request_classes[request_class])

    def on_client_disconnected(self, _now: float, event: events.ClientDisconnected, actions: Actions) -> None:
        """Forget a request whose client has disconnected, and refund its cost if it was not forwarded."""
        if request := self.requests.pop(event.request_id, None):
            self.counter.usage_reporter.refund(request, actions)

    def on_counter_response(self, now: float, event: events.CounterResponse, actions: Actions) -> None:
        """Handle a response of the counter, and admit or reject the request that waited for it."""
        request = self.counter.on_response(now, event, actions)
        if request is None:
            return
        self._admit(now, request, actions)
        lease = request.lease
        if event.outcome is events.Outcome.OK and lease.shared_bucket is not None:
            self.counter.usage_reporter.report(now, lease, lease.shared_bucket, actions)

    def on_attempt_ended(self, now: float, event: events.AttemptEnded, actions: Actions) -> None:
        """Finish or retry the request of an attempt that has ended.

        While another attempt of the request is in flight, a failed attempt has no effect on it.
        """
        attempt = self.retries.end_attempt(now, event)
        if attempt is None or event.request_id not in self.requests:
            return
        request = attempt.request
        if event.request_finished or event.outcome is events.Outcome.OK:
            del self.requests[request.id]
            self.retries.cancel_attempts(request, actions)
        elif not request.attempts_in_flight:
            # An attempt that was not processed cost the backends no work, so its retry is free.
            budget_cost = 0.0 if event.outcome in events.NOT_PROCESSED else 1.0
            if not self.retries.retry(now, request, actions, budget_cost):
                self._finish(request, actions)

    def on_timer(self, now: float, request_id: str, actions: Actions) -> None:
        """Check a request whose timer has fired, unless a later check has been scheduled since."""
        request = self.requests.get(request_id)
        if request is None or now < request.check_at - TIMER_TOLERANCE_MS:
            return
        if now >= request.finish_by - TIMER_TOLERANCE_MS:
            self._finish(request, actions)  # the final response is due
        elif not request.attempt_count:
            self._admit(now, request, actions)  # the counter has not responded in time
        else:
            self.retries.handle_overdue_attempt(now, request, actions)

    def _admit(self, now: float, request: PendingRequest, actions: Actions) -> None:
        """Forward a request if its lease, the load and the backends allow it; otherwise reject it."""
        lease = request.lease
        shortfall = request.token_shortfall()
        queueing_delay_ms = self.admission.queueing_delay(now, self.retries.attempts.values())
        relative_delay = queueing_delay_ms / max(request.request_class.latency_objective_ms, 1.0)
        self.retries.add_to_budget(has_spare_capacity=relative_delay < SPARE_DELAY_FRACTION)
        is_admitted = self.admission.admits(request, shortfall, relative_delay, now + queueing_delay_ms)
        backend = self.balancer.pick(now, request) if is_admitted else None
        if backend is None:
            self._finish(request, actions, self.admission.quota_wait(request, shortfall))
            return
        if lease.shared_bucket is not None:
            self.counter.usage_reporter.charge(request, shortfall, actions)
        lease.spend(request.cost)
        self.retries.start_attempt(now, request, backend, actions)

    def _finish(self, request: PendingRequest, actions: Actions, quota_wait_ms: float = 0.0) -> None:
        """Send the final response: a rejection if the request is safe to send again, otherwise a failure."""
        del self.requests[request.id]
        self.counter.usage_reporter.refund(request, actions)
        retry_after_ms = self.admission.retry_after(request, quota_wait_ms)
        actions.append(Reject(request.id, retry_after_ms) if is_safe_to_resend(request) else Fail(request.id))
        self.retries.cancel_attempts(request, actions)
