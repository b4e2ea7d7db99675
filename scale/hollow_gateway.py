"""A hollow gateway: the program's own control parts, joined as the program joins them, without clients.

It watches the endpoint list, holds its state and refreshes leases over the counter. Requests reach the policy
as commands, and each attempt succeeds at once, so the counter gets the calls that it would get in service.

This is the only module that imports the program: only worker processes that measure one may import it.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.backends.pool import BackendPool
from gateway.network.clients.pending_reply import PendingReply, ReplyConnection
from gateway.network.clients.request_parser import RequestParser
from gateway.network.counter.client import CounterClient
from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.endpoint_list import backend_id_of
from gateway.network.discovery.watch import EndpointWatcher
from gateway.network.dispatcher import Dispatcher
from gateway.network.process.configuration import GatewayConfig, parse_config
from gateway.network.process.descriptor_budget import BACKEND_SHARE
from gateway.network.process.server import BUFFER_SHARE, watch_retry_interval_s
from gateway.network.timers import TimerQueue
from gateway.policy.events import Outcome, UpdateKind

from .customers import Customers
from .pacing import due_requests

__all__ = ["HollowGateway", "WatchEvent", "backend_id_of", "freeze_garbage_collector", "send_requests"]

REQUEST_INTERVAL_S = 0.005
"""Interval between two checks of which requests are due."""


class ServingBackendPool(BackendPool):
    """The program's pool, on which each attempt succeeds at once."""

    def start(self, attempt: BackendAttempt) -> None:
        """End the attempt as successful."""
        attempt.end(Outcome.OK)


class CountedReply(PendingReply):
    """A pending reply that no client waits for."""

    __slots__ = ("_gateway",)

    def __init__(self, gateway: HollowGateway) -> None:
        super().__init__(cast(ReplyConnection, None))
        self._gateway = gateway

    def complete(self, reply: bytes) -> None:
        """Count the request, if it was served."""
        if not self.is_completed:
            self.is_completed = True
            if reply.startswith(b"$"):
                self._gateway.note_served()

    def detect_disconnect(self) -> None:
        """Do nothing: there is no client that could disconnect."""


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """When a change of the list had been applied, in monotonic seconds, and the backends that it changed."""

    applied_at: float
    backend_ids: list[int]


class HollowGateway:
    """One hollow gateway, which records when each change of the list was applied."""

    def __init__(self, raw_config: dict[str, Any], on_update: Callable[[], None] | None = None) -> None:
        """`raw_config` holds no cached list; `on_update` is called after each part of a list or change."""
        config = parse_config(raw_config)
        timers = TimerQueue(asyncio.get_running_loop())
        self.index = config.settings.gateway_index
        self._on_update = on_update
        self._backends = create_backend_pool(config, timers)
        self._counter = create_counter_client(config, timers)
        self._dispatcher = Dispatcher(
            config.settings,
            seed=config.seed,
            timers=timers,
            backends=self._backends,
            counter=self._counter,
            max_open_requests=config.max_open_requests,
        )
        self._parser = RequestParser(config.settings)
        self._watcher = create_endpoint_watcher(config, self._on_endpoints)
        self._watch_task: asyncio.Task[None] | None = None
        self._request_ids = itertools.count(1)
        self.watch_events: list[WatchEvent] = []
        self._applied_at: dict[int, list[float]] = {}  # by backend, of the events that were searched
        self.begin()

    def begin(self) -> None:
        """Forget what was applied and served so far."""
        self.watch_events.clear()
        self._applied_at.clear()
        self.sent_requests = 0
        self.served_requests = 0

    def note_served(self) -> None:
        """Count a request as served."""
        self.served_requests += 1

    def _on_endpoints(self, *args: Any, **kwargs: Any) -> None:
        self._dispatcher.on_endpoints(*args, **kwargs)
        kind, endpoints = args[:2]
        if kind is UpdateKind.DELTA:
            backend_ids = [listed.endpoint.backend_id for listed in endpoints]
            self.watch_events.append(WatchEvent(time.monotonic(), backend_ids))
        if self._on_update is not None:
            self._on_update()

    def start(self) -> None:
        """Read the list and watch it from then on."""
        self._watch_task = asyncio.get_running_loop().create_task(self._watcher.run())

    async def wait_for_snapshot(self) -> None:
        """Wait until a complete snapshot has been read; raises what ended the watch, if that ended."""
        assert self._watch_task is not None
        snapshot = asyncio.get_running_loop().create_task(self._watcher.snapshot_received.wait())
        await asyncio.wait({snapshot, self._watch_task}, return_when=asyncio.FIRST_COMPLETED)
        snapshot.cancel()
        if self._watch_task.done():
            self._watch_task.result()

    def applied_at(self, backend_id: int, since: float) -> float | None:
        """Return when the first change of a backend since a time was applied, None where none was yet.

        Both times are in monotonic seconds.
        """
        self._index_watch_events()
        return next((at for at in self._applied_at.get(backend_id, ()) if at >= since), None)

    def _index_watch_events(self) -> None:
        """Sort the events that have come since the last search by backend."""
        for event in self.watch_events:
            for changed in event.backend_ids:
                self._applied_at.setdefault(changed, []).append(event.applied_at)
        self.watch_events.clear()

    def send_request(self, customers: Customers) -> None:
        """Give the policy a request of one of this gateway's customers."""
        command = self._parser.parse(customers.request(self.index, next(self._request_ids)))
        self.sent_requests += 1
        self._dispatcher.on_request(command, CountedReply(self))

    def close(self) -> None:
        """End the watch and close all connections."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._backends.close()
        if self._counter is not None:
            self._counter.close()


def create_backend_pool(config: GatewayConfig, timers: TimerQueue) -> BackendPool:
    """Create the pool as the program does, but one on which each attempt succeeds at once."""
    return ServingBackendPool(
        asyncio.get_running_loop(),
        timers,
        connect_timeout_ms=config.connect_timeout_ms,
        keepalive_ms=config.keepalive_ms,
        drain_grace_ms=config.settings.safety_rules.drain_grace_ms,
        max_connections=int(config.max_descriptors * BACKEND_SHARE),
        max_buffered_bytes=int(config.memory_mb * BUFFER_SHARE * 2**20),
    )


def create_counter_client(config: GatewayConfig, timers: TimerQueue) -> CounterClient | None:
    """Create the counter's client as the program does; None where there is no counter."""
    if config.counter_address is None:
        return None
    loop = asyncio.get_running_loop()
    return CounterClient(loop, timers, config.counter_address, config.settings.counter_timeout_ms)


def create_endpoint_watcher(config: GatewayConfig, listener: Callable[..., None]) -> EndpointWatcher:
    """Create the watcher as the program does, without a cached list."""
    settings = config.settings
    poll_interval_s = config.poll_interval_ms / 1000
    backoff = Backoff(settings.gateway_count, poll_interval_s, random.Random(config.seed))
    return EndpointWatcher(
        config.discovery_address,
        None,
        listener,
        backoff,
        is_polled=settings.polls_endpoints,
        reopen_after_s=watch_retry_interval_s(settings.safety_rules),
    )


async def send_requests(
    gateways: list[HollowGateway], customers: Customers, *, rate: float, seconds: float
) -> None:
    """Give each gateway `rate` requests a second, evenly, and return after so many seconds."""
    started_at = time.monotonic()
    total_rate = rate * len(gateways)
    async for due in due_requests(rate=total_rate, seconds=seconds, interval_s=REQUEST_INTERVAL_S):
        for number in due:
            gateways[number % len(gateways)].send_request(customers)
    await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))


def freeze_garbage_collector() -> float:
    """Collect and freeze, as the program does at the end of its start; return the wall time in ms."""
    started_at = time.perf_counter()
    gc.collect()
    gc.freeze()
    return (time.perf_counter() - started_at) * 1000
