"""A hollow gateway: the control components of a gateway, wired as the gateway wires them, without clients.

It watches the endpoint list, holds a gateway's control state and refreshes leases at the counter. Requests
reach the dispatcher as parsed commands, and each attempt succeeds at once, so the counter gets the calls that
it would get in production.

This is the only module that imports the gateway package, so only worker processes that measure a checkout may
import it.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from gateway.network.backends.attempt import BackendAttempt
from gateway.network.backends.pool import BackendPool
from gateway.network.clients.pending_reply import PendingReply, ReplyConnection
from gateway.network.clients.request_parser import RequestParser
from gateway.network.discovery.endpoint_list import backend_id_of
from gateway.network.process.configuration import parse_config
from gateway.network.process.parts import PartFactory
from gateway.network.timers import TimerQueue
from gateway.policy.events import Outcome, UpdateKind

from .customers import CustomerSampler
from .pacing import due_requests

__all__ = ["AppliedDelta", "HollowGateway", "backend_id_of", "freeze_garbage_collector", "send_requests"]

REQUEST_INTERVAL_S = 0.005
"""Seconds between two checks for requests that are due."""


class InstantBackendPool(BackendPool):
    """A backend pool on which each attempt succeeds at once."""

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
        """Mark the reply as complete, and count the request if it was served."""
        if not self.is_completed:
            self.is_completed = True
            if reply.startswith(b"$"):
                self._gateway.count_served()

    def detect_disconnect(self) -> None:
        """Do nothing: there is no client that could disconnect."""


@dataclass(frozen=True, slots=True)
class AppliedDelta:
    """When a part of a delta had been applied, in monotonic seconds, and the backends that it changed."""

    applied_at: float
    backend_ids: list[int]


class HollowGateway:
    """A hollow gateway that records when each change of the endpoint list was applied."""

    def __init__(self, raw_config: dict[str, Any], on_update: Callable[[], None] | None = None) -> None:
        """Create a gateway that reads the whole list at its start, without a cached list.

        `raw_config` is a decoded configuration file; `on_update` is called after each part of a snapshot or
        delta.
        """
        config = parse_config(raw_config)
        parts = PartFactory(config, TimerQueue(asyncio.get_running_loop()))
        self.index = config.settings.gateway_index
        self._on_update = on_update
        self._backends = parts.create_backend_pool(InstantBackendPool)
        self._counter = parts.create_counter_client()
        self._dispatcher = parts.create_dispatcher(self._backends, self._counter)
        self._parser = RequestParser(config.settings)
        self._watcher = parts.create_watcher(None, self._on_endpoints)
        self._watch_task: asyncio.Task[None] | None = None
        self._request_ids = itertools.count(1)
        self.applied_deltas: list[AppliedDelta] = []
        self._applied_at_by_backend: dict[int, list[float]] = {}  # monotonic seconds
        self.reset()

    def reset(self) -> None:
        """Clear the applied deltas and the request counts."""
        self.applied_deltas.clear()
        self._applied_at_by_backend.clear()
        self.sent_requests = 0
        self.served_requests = 0

    def count_served(self) -> None:
        """Count a request as served."""
        self.served_requests += 1

    def _on_endpoints(self, *args: Any, **kwargs: Any) -> None:
        self._dispatcher.on_endpoints(*args, **kwargs)
        kind, endpoints = args[:2]
        if kind is UpdateKind.DELTA:
            backend_ids = [listed.endpoint.backend_id for listed in endpoints]
            self.applied_deltas.append(AppliedDelta(time.monotonic(), backend_ids))
        if self._on_update is not None:
            self._on_update()

    def start(self) -> None:
        """Start to read the endpoint list and to watch its changes."""
        self._watch_task = asyncio.get_running_loop().create_task(self._watcher.run())

    async def wait_for_snapshot(self) -> None:
        """Wait until a complete snapshot has been read; raise the watch's error if the watch ends first."""
        assert self._watch_task is not None
        snapshot_task = asyncio.get_running_loop().create_task(self._watcher.snapshot_received.wait())
        await asyncio.wait({snapshot_task, self._watch_task}, return_when=asyncio.FIRST_COMPLETED)
        snapshot_task.cancel()
        if self._watch_task.done():
            self._watch_task.result()

    def applied_at(self, backend_id: int, since: float) -> float | None:
        """Return when a change of a backend was first applied at or after `since`, or None if no change was.

        Both times are in monotonic seconds.
        """
        self._index_deltas()
        return next((at for at in self._applied_at_by_backend.get(backend_id, ()) if at >= since), None)

    def _index_deltas(self) -> None:
        """Move the deltas since the last call into the index by backend."""
        for delta in self.applied_deltas:
            for backend_id in delta.backend_ids:
                self._applied_at_by_backend.setdefault(backend_id, []).append(delta.applied_at)
        self.applied_deltas.clear()

    def send_request(self, customers: CustomerSampler) -> None:
        """Send the dispatcher a request of a random customer that this gateway serves."""
        command = self._parser.parse(customers.make_command(self.index, next(self._request_ids)))
        self.sent_requests += 1
        self._dispatcher.on_request(command, CountedReply(self))

    def close(self) -> None:
        """Cancel the watch and close all connections."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._backends.close()
        if self._counter is not None:
            self._counter.close()


async def send_requests(
    gateways: list[HollowGateway], customers: CustomerSampler, *, rate: float, seconds: float
) -> None:
    """Send each gateway `rate` requests a second at even intervals, for `seconds` seconds."""
    started_at = time.monotonic()
    total_rate = rate * len(gateways)
    async for due in due_requests(rate=total_rate, seconds=seconds, interval_s=REQUEST_INTERVAL_S):
        for number in due:
            gateways[number % len(gateways)].send_request(customers)
    await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))


def freeze_garbage_collector() -> float:
    """Collect garbage and freeze what remains, as a gateway does at startup; return the wall time in ms."""
    started_at = time.perf_counter()
    gc.collect()
    gc.freeze()
    return (time.perf_counter() - started_at) * 1000
