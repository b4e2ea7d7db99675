"""Every decision of one gateway: hands each event to the parts that decide, and joins what they say.

It knows its settings, seed, `now` (milliseconds) and events (gateway/policy/events.py); nothing else.
"""

import random
from collections.abc import Callable
from typing import Any

from . import events
from .actions import Actions, Fail, Reject, SetTimer, WatchEndpoints
from .admission import CALM_THRESHOLD, AdmissionController
from .backend_table import BackendTable
from .backends import Backend
from .counter_throttle import CounterThrottle
from .leases import LeaseTable
from .load_balancing import LoadBalancer
from .outlier_detection import OutlierDetector
from .quota_counter import QuotaCounter
from .requests import FINISH_MARGIN_MS, PendingRequest
from .response_stats import ResponseStats
from .retries import RetryController
from .settings import RequestClass, Settings
from .timers import TimerKind, TimerToken

TIMER_TOLERANCE_MS = 1.0  # a timer that fires so little earlier than it was set for counts as in time


class GatewayPolicy:
    """The decisions of one gateway; the same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.request_classes = {c.name: c for c in settings.request_classes}
        self.requests: dict[str, PendingRequest] = {}
        self.leases = LeaseTable(settings)
        self.counter_throttle = CounterThrottle(rng)
        self.counter = QuotaCounter(settings, self.counter_throttle, self.leases, self.requests)
        self.stats = ResponseStats()
        self.admission = AdmissionController(settings, rng, self.stats)
        self.backends = BackendTable(settings)
        outliers = OutlierDetector(self.backends, self.stats)
        self.balancer = LoadBalancer(settings.safety_rules, rng, self.backends, outliers)
        self.retries = RetryController(settings, self.backends, self.balancer, outliers)
        self.has_started = self.has_rebuild_timer = False
        self.handlers: dict[type, Callable[[float, Any, Actions], None]] = {
            events.RequestArrived: self._on_request,
            events.AttemptEnded: self._on_attempt_ended,
            events.TimerFired: self._on_timer,
            events.CounterResponse: self._on_counter_response,
            events.EndpointUpdate: self._on_endpoint_update,
            events.ClientDisconnected: self._on_client_disconnected,
        }  # peers' messages and begun responses change no decision

    @property
    def subset(self) -> list[Backend]:
        """The backends that this gateway uses."""
        return self.backends.endpoints.backends

    def handle(self, now: float, event: events.Event) -> Actions:
        """Take in an event and return the actions that it leads to, in order."""
        out: Actions = []
        if not self.has_started:
            self.has_started = True
            self.leases.start(now)
            self.stats.responded_at = now
            if self.settings.polls_endpoints:
                out.append(WatchEndpoints())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        return out

    def _on_request(self, now: float, event: events.RequestArrived, out: Actions) -> None:
        name = event.request_class
        left_ms = event.deadline - now
        request_class = self.request_classes.get(name) or RequestClass(name, left_ms, left_ms)
        lease = self.leases.lease_for(now, event)
        finish_by = event.deadline - FINISH_MARGIN_MS
        objective_at = min(event.deadline, now + request_class.latency_objective_ms)
        request = PendingRequest(
            event.request_id, request_class, lease, event.cost, event.is_retry, finish_by, objective_at
        )
        self.requests[request.id] = request
        if lease.shared_bucket is None:
            self.counter.lease_refresher.refresh(now, request, out)
        elif self.counter.bucket_reader.read(now, request, out):
            return
        self._admit(now, request, out)

    def _on_client_disconnected(self, _now: float, event: events.ClientDisconnected, out: Actions) -> None:
        if request := self.requests.pop(event.request_id, None):
            self.counter.usage.refund(request, out)

    def _on_counter_response(self, now: float, event: events.CounterResponse, out: Actions) -> None:
        request = self.counter.on_response(now, event, out)
        if request is None:
            return
        self._admit(now, request, out)
        lease = request.lease
        if event.outcome is events.Outcome.OK and lease.shared_bucket is not None:
            self.counter.usage.report(now, lease, lease.shared_bucket, out)

    def _on_endpoint_update(self, _now: float, event: events.EndpointUpdate, out: Actions) -> None:
        if event.kind is events.UpdateKind.WATCH_FAILED:  # the last list stays in force
            retry_ms = self.settings.safety_rules.drain_grace_ms
            out.append(SetTimer(retry_ms, TimerToken(TimerKind.WATCH_ENDPOINTS)))
            return
        self.backends.apply(event)
        self.admission.set_backend_count(len(self.backends.endpoints.records))
        self._schedule_rebuild(out)

    def _schedule_rebuild(self, out: Actions) -> None:
        """Let waiting events be handled before the next step of a long list's order."""
        if self.backends.endpoints.is_rebuilding and not self.has_rebuild_timer:
            self.has_rebuild_timer = True
            out.append(SetTimer(0.0, TimerToken(TimerKind.BUILD_ORDER)))

    def _on_timer(self, now: float, event: events.TimerFired, out: Actions) -> None:
        kind, subject = event.token
        if kind is TimerKind.REQUEST:
            if (request := self.requests.get(subject)) and now >= request.check_at - TIMER_TOLERANCE_MS:
                self._check_request(now, request, out)
        elif kind is TimerKind.USAGE_REPORT:
            if lease := self.leases.by_customer.get(subject):
                self.counter.usage.on_report_timer(now, lease, out)
        elif kind is TimerKind.BUILD_ORDER:
            self.has_rebuild_timer = False
            self.backends.endpoints.continue_rebuild()
            self._schedule_rebuild(out)
        else:
            out.append(WatchEndpoints())

    def _check_request(self, now: float, request: PendingRequest, out: Actions) -> None:
        if now >= request.finish_by - TIMER_TOLERANCE_MS:
            self._finish(request, out)  # every pending request ends here at the latest
        elif not request.attempt_count:
            self._admit(now, request, out)  # the counter is silent
        else:
            self.retries.check_overdue(now, request, out)

    def _on_attempt_ended(self, now: float, event: events.AttemptEnded, out: Actions) -> None:
        attempt = self.retries.end(now, event)
        if attempt is None or event.request_id not in self.requests:
            return
        request = attempt.request
        if event.request_finished or event.outcome is events.Outcome.OK:
            del self.requests[request.id]
            self.retries.cancel_all(request, out)
        elif not request.live_attempts:
            price = 0.0 if event.outcome in events.NOT_PROCESSED else 1.0  # what never ran is not charged
            if not self.retries.retry(now, request, out, price):
                self._finish(request, out)

    def _admit(self, now: float, request: PendingRequest, out: Actions) -> None:
        """Forward a request if its lease, the load and the backends let it, else reject it."""
        lease = request.lease
        shortfall = request.assumed_shortfall
        if shortfall is None:
            shortfall = request.cost - lease.tokens if lease.plan.rate else 0.0
        delay_ms = self.admission.queueing_delay(now, self.retries.attempts.values())
        strain = delay_ms / max(request.request_class.latency_objective_ms, 1.0)
        self.retries.earn(is_calm=strain < CALM_THRESHOLD)
        is_admitted = self.admission.admits(request, shortfall, strain, now + delay_ms)
        backend = self.balancer.pick(now, request) if is_admitted else None
        if backend is None:
            self._finish(request, out, self.admission.quota_wait(request, shortfall))
            return
        if lease.shared_bucket is not None:
            self.counter.usage.charge(request, shortfall, out)
        lease.spend(request.cost)
        self.retries.start(now, request, backend, out)

    def _finish(self, request: PendingRequest, out: Actions, quota_wait_ms: float = 0.0) -> None:
        """Give the one final response: a rejection only where a new request does no harm, else a failure."""
        del self.requests[request.id]
        self.counter.usage.refund(request, out)
        wait_ms = self.admission.retry_after(request, quota_wait_ms)
        out.append(Reject(request.id, wait_ms) if request.is_safe_to_resend else Fail(request.id))
        self.retries.cancel_all(request, out)
