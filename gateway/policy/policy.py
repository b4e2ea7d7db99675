"""The policy of one gateway: passes each event to the component that handles it, and returns the actions.

Its only inputs are settings, a seed, the time in milliseconds and events (gateway/policy/events.py).
"""

import math
import random
from collections.abc import Callable
from typing import Any

from . import events
from .actions import Actions, WatchEndpoints
from .admission import AdmissionController
from .backend_table import BackendTable
from .backends import Backend
from .counter_throttle import CounterThrottle
from .endpoint_updates import EndpointUpdateHandler
from .lease_table import LeaseTable
from .load_balancing import LoadBalancer
from .outlier_detection import OutlierDetector
from .quota_counter import QuotaCounterClient
from .request_lifecycle import RequestLifecycle
from .requests import PendingRequest
from .response_stats import ResponseStats
from .retries import RetryController
from .settings import Settings
from .timers import TimerKind


class GatewayPolicy:
    """Makes the decisions of one gateway; the same settings, seed, times and events give the same actions.

    `max_customers` bounds the customers whose quotas are known at once; requests of others are rejected.
    """

    def __init__(self, settings: Settings, seed: int, max_customers: float = math.inf) -> None:
        rng = random.Random(seed)
        self.requests: dict[str, PendingRequest] = {}
        self.leases = LeaseTable(settings, max_customers)
        self.counter_throttle = CounterThrottle(rng)
        self.counter = QuotaCounterClient(settings, self.counter_throttle, self.leases, self.requests)
        self.stats = ResponseStats()
        self.backends = BackendTable(settings)
        outliers = OutlierDetector(self.backends, self.stats)
        self.balancer = LoadBalancer(settings.safety_rules, rng, self.backends, outliers)
        self.retries = RetryController(settings, self.backends, self.balancer, outliers)
        admission = AdmissionController(settings, rng, self.stats)
        self.endpoint_updates = EndpointUpdateHandler(settings, self.backends, admission)
        self.lifecycle = RequestLifecycle(
            settings=settings,
            leases=self.leases,
            counter=self.counter,
            admission=admission,
            retries=self.retries,
        )
        self.has_started = False
        # Events of other types are ignored.
        self.handlers: dict[type, Callable[[float, Any, Actions], None]] = {
            events.RequestArrived: self.lifecycle.on_arrival,
            events.AttemptEnded: self.lifecycle.on_attempt_ended,
            events.TimerFired: self._on_timer,
            events.CounterResponse: self.lifecycle.on_counter_response,
            events.EndpointUpdate: self.endpoint_updates.on_update,
            events.ClientDisconnected: self.lifecycle.on_client_disconnected,
        }

    @property
    def subset(self) -> list[Backend]:
        """The backends that this gateway uses, a subset of the endpoint list."""
        return self.backends.endpoint_subset.backends

    @property
    def customer_count(self) -> int:
        """Number of customers whose leases are kept."""
        return len(self.leases.by_customer)

    def overload_retry_after(self, request_class: str) -> float:
        """Return the Retry-After, in milliseconds, of a request that is rejected before the policy sees it.

        `request_class` is the name of its class; the result is 0 if the settings do not allow a Retry-After.
        """
        return self.lifecycle.overload_retry_after(request_class)

    def handle(self, now: float, event: events.Event) -> Actions:
        """Handle an event and return the resulting actions in order."""
        actions: Actions = []
        if not self.has_started:
            self.has_started = True
            self.leases.start(now)
            self.stats.start(now)
            self.endpoint_updates.start(actions)
        if handler := self.handlers.get(type(event)):
            handler(now, event, actions)
        return actions

    def _on_timer(self, now: float, event: events.TimerFired, actions: Actions) -> None:
        kind, key = event.token
        match kind:
            case TimerKind.REQUEST:
                self.lifecycle.on_timer(now, key, actions)
            case TimerKind.USAGE_REPORT:
                self.counter.on_report_timer(now, key, actions)
            case TimerKind.REBUILD_SUBSET:
                self.endpoint_updates.on_rebuild_timer(actions)
            case TimerKind.WATCH_ENDPOINTS:
                actions.append(WatchEndpoints())
