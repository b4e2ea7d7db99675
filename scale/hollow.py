"""Hollow gateways: the program's own control parts, joined as the program joins them, without clients.

They watch the list, hold its state and keep leases at the counter. Requests reach the decision module as
commands, and what it sends on ends at once as served, so its calls to the counter are the true ones.

This module imports the program: only processes that measure one may import it.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import random
import time
from collections.abc import Callable
from typing import Any, cast

import psutil

from gateway.network.attempt import BackendAttempt
from gateway.network.backend_pool import BackendPool
from gateway.network.backoff import Backoff
from gateway.network.configuration import parse_config
from gateway.network.counter_client import CounterClient
from gateway.network.dispatcher import Dispatcher
from gateway.network.endpoint_list import backend_id_of
from gateway.network.endpoint_watch import EndpointWatcher
from gateway.network.gateway_server import watch_retry_interval_s
from gateway.network.pending_reply import PendingReply, ReplyConnection
from gateway.network.request_parser import RequestParser
from gateway.network.timers import TimerQueue
from gateway.policy.events import Outcome, UpdateKind

from .load import attributes
from .settings import Customers

BACKEND_SHARE, MEMORY_SHARE = 0.25, 0.2  # as in the program: of descriptors and memory
STEP_S = 0.005
POLL_S = 0.05


class Nowhere(BackendPool):
    """Pools that hold the list as ever, and end each attempt at once as served."""

    def start(self, attempt: BackendAttempt) -> None:
        attempt.end(Outcome.OK)


class Tally(PendingReply):
    """The place of an answer that nobody waits for."""

    __slots__ = ("owner",)

    def __init__(self, owner: Hollow) -> None:
        super().__init__(cast(ReplyConnection, None))
        self.owner = owner

    def complete(self, reply: bytes) -> None:
        if not self.is_completed:
            self.is_completed = True
            self.owner.served += reply.startswith(b"$")

    def detect_disconnect(self) -> None:
        """No client stands behind it that could leave."""


class Hollow:
    """One hollow gateway. `heard` notes when each message of the list had been taken."""

    def __init__(self, raw: dict[str, Any], after: Callable[[], None] | None = None) -> None:
        """`raw` is the configuration, without a known list; `after` is called after each message."""
        loop, config = asyncio.get_running_loop(), parse_config(raw)
        settings = config.settings
        self.index, self.after = settings.gateway_index, after
        timers = TimerQueue(loop)
        self.backends = Nowhere(
            loop,
            timers,
            connect_timeout_ms=config.connect_timeout_ms,
            keepalive_ms=config.keepalive_ms,
            drain_grace_ms=settings.safety_rules.drain_grace_ms,
            max_connections=int(config.max_descriptors * BACKEND_SHARE),
            max_buffered_bytes=int(config.memory_mb * MEMORY_SHARE * 2**20),
        )
        self.counter = (
            CounterClient(loop, timers, config.counter_address, settings.counter_timeout_ms)
            if config.counter_address
            else None
        )
        self.driver = Dispatcher(
            settings,
            seed=config.seed,
            timers=timers,
            backends=self.backends,
            counter=self.counter,
            max_open_requests=config.max_open_requests,
        )
        self.terms = RequestParser(settings)
        busy = Backoff(settings.gateway_count, config.poll_interval_ms / 1000, random.Random(config.seed))
        soon = watch_retry_interval_s(settings.safety_rules)
        asked = settings.polls_endpoints
        self.discovery = EndpointWatcher(
            config.discovery_address, None, self.heard, busy, is_polled=asked, reopen_after_s=soon
        )
        self.calls: list[tuple[float, list[int]]] = []  # when a message had been taken, and its backends
        self.seen: dict[int, list[float]] = {}  # by backend, what of `calls` has been looked at
        self.ids = itertools.count(1)
        self.given = self.served = self.messages = 0
        self.watch: asyncio.Task[None] | None = None

    def heard(self, *args: Any, **kwargs: Any) -> None:
        self.driver.on_endpoints(*args, **kwargs)
        if args[0] is UpdateKind.DELTA:
            self.messages += 1
            self.calls.append((time.monotonic(), [member.endpoint.backend_id for member in args[1]]))
        if self.after is not None:
            self.after()

    def start(self) -> None:
        """Read the list and watch it from then on."""
        self.watch = asyncio.get_running_loop().create_task(self.discovery.run())

    async def started(self) -> None:
        """Wait until the whole list has been read."""
        assert self.watch is not None
        read = asyncio.get_running_loop().create_task(self.discovery.snapshot_received.wait())
        await asyncio.wait({read, self.watch}, return_when=asyncio.FIRST_COMPLETED)
        read.cancel()
        if self.watch.done():
            self.watch.result()

    def begin(self) -> None:
        """Forget what was taken and given so far."""
        self.calls.clear()
        self.seen.clear()
        self.given = self.served = self.messages = 0

    def in_force(self, backend: int, told_at: float) -> float | None:
        """When a change told at some time had been taken, both in seconds (monotonic); None: not yet."""
        calls, self.calls = self.calls, []
        for at, backends in calls:
            for taken in backends:
                self.seen.setdefault(taken, []).append(at)
        return next((at for at in self.seen.get(backend, ()) if at >= told_at), None)

    def request(self, customers: Customers) -> None:
        """Give the decision module a request of one of this gateway's customers."""
        customer, first = customers.pick(self.index)
        args = [b"API.READ", b"%016x" % customer, b"%016x" % next(self.ids)]
        command = self.terms.parse([*args, attributes(customers.spread, first)])
        self.given += 1
        self.driver.on_request(command, Tally(self))

    def close(self) -> None:
        if self.watch is not None:
            self.watch.cancel()
        self.backends.close()
        if self.counter is not None:
            self.counter.close()


async def give_requests(gateways: list[Hollow], customers: Customers, rate: float, seconds: float) -> None:
    """Give each gateway `rate` requests a second, evenly, for so many seconds."""
    started, due = time.monotonic(), 0
    total = int(rate * seconds * len(gateways))
    while due < total:
        now = time.monotonic()
        while due < total and started + due / (rate * len(gateways)) <= now:
            gateways[due % len(gateways)].request(customers)
            due += 1
        await asyncio.sleep(STEP_S)
    await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))


def freeze() -> float:
    """As the program does once it has started; gives the milliseconds that it was held up."""
    started = time.perf_counter()
    gc.collect()
    gc.freeze()
    return (time.perf_counter() - started) * 1000


def resident_mb() -> float:
    """Megabytes of this process that are in memory."""
    return psutil.Process().memory_info().rss / 2**20


class HollowGateways:
    """The hollow gateways of one process."""

    def __init__(self) -> None:
        self.gateways: list[Hollow] = []
        self.cpu = self.began = 0.0

    async def start(self, configs: list[dict[str, Any]]) -> dict[str, float]:
        """Start a gateway for each configuration, one after another; gives memory before and after, in MB."""
        before = resident_mb()
        for config in configs:
            gateway = Hollow(config)
            self.gateways.append(gateway)
            gateway.start()
            await gateway.started()
        freeze()
        return {"before_mb": before, "after_mb": resident_mb()}

    async def begin(self) -> None:
        """Measure from here on."""
        for gateway in self.gateways:
            gateway.begin()
        self.cpu, self.began = time.process_time(), time.monotonic()

    async def read(self) -> dict[str, float]:
        """Processor seconds and seconds since `begin`, memory in MB, and requests given and served."""
        return {
            "cpu_s": time.process_time() - self.cpu,
            "seconds": time.monotonic() - self.began,
            "rss_mb": resident_mb(),
            "given": sum(gateway.given for gateway in self.gateways),
            "served": sum(gateway.served for gateway in self.gateways),
        }

    async def serve(self, **customers: int) -> None:
        """Have customers, as the arguments of `Customers` say."""
        self.customers = Customers(**customers)

    async def requests(self, rate: float, seconds: float) -> None:
        """Give each gateway `rate` requests a second for so many seconds."""
        await give_requests(self.gateways, self.customers, rate, seconds)

    async def in_force(self, hosts: list[str], told_at: list[float], patience: float) -> list[list[float]]:
        """For each change the milliseconds until it was in force, by gateway; -1: not in so many seconds."""
        end = time.monotonic() + patience
        changes = [(backend_id_of(host), at) for host, at in zip(hosts, told_at, strict=True)]
        # Only the last is asked for while it is waited for: all of them would take the time that is measured.
        last = changes[-1:]
        while time.monotonic() < end and not all(
            gateway.in_force(*change) for change in last for gateway in self.gateways
        ):
            await asyncio.sleep(POLL_S)
        found = [[gateway.in_force(*change) for gateway in self.gateways] for change in changes]
        return [
            [-1.0 if at is None else round((at - told) * 1000, 3) for at in row]
            for row, (_, told) in zip(found, changes, strict=True)
        ]

    def close(self) -> None:
        for gateway in self.gateways:
            with contextlib.suppress(Exception):  # the process ends anyway
                gateway.close()
