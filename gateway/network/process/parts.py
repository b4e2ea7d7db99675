"""Construction of the components of one gateway from its configuration; it opens no connections."""

from __future__ import annotations

import asyncio
import random

from gateway.network.backends.pool import BackendPool
from gateway.network.clients.listener import ClientLimits, ClientListener
from gateway.network.clients.pending_reply import RequestHandler
from gateway.network.clients.request_parser import RequestParser
from gateway.network.counter.client import CounterClient
from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.delivery import EndpointListener
from gateway.network.discovery.watch import EndpointWatcher
from gateway.network.dispatcher import Dispatcher
from gateway.network.timers import TimerQueue
from gateway.policy.settings import SafetyRules

from .configuration import GatewayConfig
from .descriptor_budget import budget_descriptors
from .memory_budget import budget_memory

MS_PER_S = 1000.0

WATCH_RETRY_GRACE_SHARE = 0.25
"""Interval between calls of a watch while none is answered, as a fraction of the drain grace."""

MIN_WATCH_RETRY_INTERVAL_S = 0.05
"""Minimum interval between calls of a watch while none is answered, in seconds."""


class PartFactory:
    """Creates the components of one gateway; call each method once.

    Instantiate it within the running event loop that is to run the components.
    """

    def __init__(self, config: GatewayConfig, timers: TimerQueue, resident_bytes: int = 0) -> None:
        """`resident_bytes` is what the process uses of its memory limit before clients come."""
        self._config = config
        self._timers = timers
        self._loop = asyncio.get_running_loop()
        self._descriptors = budget_descriptors(config.max_descriptors)
        self.memory_budget = budget_memory(config.memory_mb, resident_bytes)

    def create_backend_pool(self, pool_type: type[BackendPool] = BackendPool) -> BackendPool:
        """Create the pool of backend connections; `pool_type` may be a subclass that simulates them."""
        return pool_type(
            self._loop,
            self._timers,
            connect_timeout_ms=self._config.connect_timeout_ms,
            keepalive_ms=self._config.keepalive_ms,
            drain_grace_ms=self._config.settings.safety_rules.drain_grace_ms,
            max_connections=self._descriptors.backend_connections,
            max_buffered_bytes=self.memory_budget.backend_reply_bytes,
        )

    def create_counter_client(self) -> CounterClient | None:
        """Create the counter client, or return None if the deployment has no counter."""
        address = self._config.counter_address
        if address is None:
            return None
        return CounterClient(
            self._loop,
            self._timers,
            address,
            self._config.settings.counter_timeout_ms,
            max_unreported_calls=self.memory_budget.max_counter_calls,
        )

    def create_dispatcher(self, backends: BackendPool, counter: CounterClient | None) -> Dispatcher:
        """Create the dispatcher, which creates the policy."""
        return Dispatcher(
            self._config.settings,
            seed=self._config.seed,
            timers=self._timers,
            backends=backends,
            counter=counter,
            max_open_requests=min(self._config.max_open_requests, self.memory_budget.max_open_requests),
            max_customers=self.memory_budget.max_customers,
        )

    def create_watcher(self, version: int | None, on_endpoints: EndpointListener) -> EndpointWatcher:
        """Create the watcher of the endpoint list.

        It watches for changes after `version`, or reads a snapshot first if `version` is None.
        """
        settings = self._config.settings
        backoff = Backoff(
            settings.gateway_count,
            self._config.poll_interval_ms / MS_PER_S,
            random.Random(self._config.seed),
        )
        return EndpointWatcher(
            self._config.discovery_address,
            version,
            on_endpoints,
            backoff,
            polls_discovery=settings.polls_endpoints,
            retry_interval_s=_watch_retry_interval_s(settings.safety_rules),
        )

    def create_listener(self, handler: RequestHandler) -> ClientListener:
        """Create the listener for client connections, which passes requests to `handler`."""
        return ClientListener(
            self._loop,
            self._timers,
            handler=handler,
            parser=RequestParser(self._config.settings),
            limits=ClientLimits(
                max_connections=self._descriptors.client_connections,
                unsent_reply_bytes=self.memory_budget.unsent_reply_bytes,
                waiting_reply_bytes=self.memory_budget.waiting_reply_bytes,
                input_bytes=self.memory_budget.client_input_bytes,
            ),
        )


def _watch_retry_interval_s(rules: SafetyRules) -> float:
    """Return the interval between calls of a watch while none is answered, in seconds."""
    return max(MIN_WATCH_RETRY_INTERVAL_S, rules.drain_grace_ms / MS_PER_S * WATCH_RETRY_GRACE_SHARE)
