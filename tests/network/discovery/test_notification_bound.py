"""A change is delivered within 6 s after discovery has received it, despite faults; in virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

import pytest

from gateway.network.discovery.backoff import NOTIFICATION_BOUND_S, Backoff
from gateway.network.discovery.endpoint_list import ListedEndpoint
from gateway.network.discovery.watch import EndpointWatcher
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.fake_services import FakeDiscovery, endpoint_entry, endpoint_list_message
from tests.support.virtual_time import run_in_virtual_time
from tests.support.watch_harness import WatchHarness

GATEWAY_COUNT = 200
"""Number of gateways in a fleet that is so large that its first backoff delay is at the cap."""

POLLED_RESPONSE_S = 0.4
"""Response time, in seconds, of a polled discovery; an agent responds at once."""

HEARTBEAT_INTERVAL_S = 2.0
"""Interval, in seconds, between the heartbeats of an open watch."""

SEEDS = range(4)
"""Seeds for the jitter of the backoff."""


class Mode(Enum):
    """How the fake discovery treats a call."""

    SERVE = "serve"
    REJECT = "reject"
    HANG = "hang"


class FaultyDiscovery(FakeDiscovery):
    """Serves calls, rejects them or leaves them unanswered, as `mode` says; sends heartbeats to watches."""

    def __init__(self, response_s: float) -> None:
        super().__init__()
        self.response_s = response_s
        self.mode = Mode.SERVE
        self.pending_rejections = 0
        """Number of the next calls that are rejected although `mode` is `SERVE`."""
        self.called = asyncio.Event()
        self.heartbeat_sent = asyncio.Event()
        self.hung_watches: list[asyncio.StreamWriter] = []

    async def wait_for_call(self) -> None:
        """Wait until the next call arrives."""
        self.called.clear()
        await self.called.wait()

    def add_drain(self) -> float:
        """Add a drain to the list, and return the time on the event loop's clock."""
        self.snapshot = endpoint_list_message(42, endpoint_entry("h0", 1, "draining"))
        return asyncio.get_running_loop().time()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        mode = self._mode_of_call()
        self.called.set()
        if mode is Mode.REJECT:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif mode is Mode.HANG:
            await reader.read()
        else:
            await asyncio.sleep(self.response_s)
            await self._serve(target, reader, writer)

    def _mode_of_call(self) -> Mode:
        if self.mode is Mode.SERVE and self.pending_rejections:
            self.pending_rejections -= 1
            return Mode.REJECT
        return self.mode

    async def _serve(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "stream=1" not in target:
            body = json.dumps(self.snapshot).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        sent_version = int(target.rpartition("=")[2])
        while writer not in self.hung_watches:
            line = b"\n"
            if self.snapshot["seq"] > sent_version:
                sent_version = self.snapshot["seq"]
                line = json.dumps(self.snapshot).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            self.heartbeat_sent.set()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await reader.read()


Fault = Callable[[FaultyDiscovery, EndpointWatcher], Awaitable[float]]
"""Causes a fault, adds a drain to the list of discovery and returns the time of the drain."""


async def fail_calls(discovery: FaultyDiscovery, mode: Mode, count: int) -> None:
    """Close all watches and set `mode`; return when `count` further calls have arrived."""
    discovery.mode = mode
    discovery.close_connections()
    for _ in range(count):
        await discovery.wait_for_call()


async def move_to_new_address(discovery: FaultyDiscovery, watcher: EndpointWatcher, rejections: int) -> float:
    other = FaultyDiscovery(discovery.response_s)
    other.pending_rejections = rejections
    await other.start()
    drained_at = other.add_drain()
    watcher.move_to(other.address)
    return drained_at


async def repeated_rejections(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.REJECT, 5)
    discovery.mode = Mode.SERVE
    return discovery.add_drain()


async def rejection_after_the_drain(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    discovery.pending_rejections = 1
    return await repeated_rejections(discovery, watcher)


async def unanswered_call(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.HANG, 1)
    discovery.mode = Mode.SERVE
    return discovery.add_drain()


async def repeated_unanswered_calls(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.HANG, 5)
    discovery.mode = Mode.SERVE
    return discovery.add_drain()


async def missing_heartbeats(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    discovery.heartbeat_sent.clear()
    await discovery.heartbeat_sent.wait()
    discovery.hung_watches.extend(discovery.watches)
    return discovery.add_drain()


async def rejection_after_missing_heartbeats(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    discovery.pending_rejections = 1
    return await missing_heartbeats(discovery, watcher)


async def connects_that_hang(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    attempted = asyncio.Event()

    async def hang(*_: object) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        attempted.set()
        await asyncio.sleep(3600)
        raise AssertionError

    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(asyncio, "open_connection", hang)
        discovery.close_connections()
        for _ in range(4):
            attempted.clear()
            await attempted.wait()
    return discovery.add_drain()


async def move_during_rejections(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.REJECT, 3)
    return await move_to_new_address(discovery, watcher, rejections=0)


async def move_to_a_rejecting_address(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.HANG, 1)
    return await move_to_new_address(discovery, watcher, rejections=1)


FAULTS: list[Fault] = [
    repeated_rejections,
    rejection_after_the_drain,
    unanswered_call,
    repeated_unanswered_calls,
    missing_heartbeats,
    rejection_after_missing_heartbeats,
    connects_that_hang,
    move_during_rejections,
    move_to_a_rejecting_address,
]


async def notification_delay(fault: Fault, seed: int, *, polls_discovery: bool) -> float:
    """Return the time, in seconds, from a drain during a fault to the delivery of the drain."""
    drain_delivered = asyncio.Event()

    def detect_drain(
        _kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
    ) -> None:
        if any(listed.endpoint.state is EndpointState.DRAINING for listed in endpoints):
            drain_delivered.set()

    discovery = FaultyDiscovery(POLLED_RESPONSE_S if polls_discovery else 0.0)
    backoff = Backoff(GATEWAY_COUNT, 10.0, random.Random(seed))
    async with WatchHarness(discovery=discovery, backoff=backoff, polls_discovery=polls_discovery) as watch:
        watch.listener = detect_drain
        await discovery.heartbeat_sent.wait()
        drained_at = await fault(discovery, watch.watcher)
        await drain_delivered.wait()
        return asyncio.get_running_loop().time() - drained_at


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("polls_discovery", [False, True], ids=["pushed", "polled"])
def test_drain_is_delivered_within_the_bound(polls_discovery: bool, fault: Fault) -> None:
    """If a drain were delivered too late, new requests would go to a backend that has already stopped."""
    delays: list[float] = []

    async def scenario(seed: int) -> None:
        delays.append(await notification_delay(fault, seed, polls_discovery=polls_discovery))

    for seed in SEEDS:
        run_in_virtual_time(partial(scenario, seed))

    print(f"{fault.__name__}: {max(delays):.2f} s")
    assert len(delays) == len(SEEDS)
    assert max(delays) < NOTIFICATION_BOUND_S
