"""A change is in force within 6 s of discovery having it, whatever failed before: in virtual time."""

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
from tests.support.fake_services import FakeDiscovery, endpoint_entry
from tests.support.virtual_time import in_virtual_time
from tests.support.watch_harness import WatchHarness

GATEWAY_COUNT = 200  # the delays of such a fleet after a rejection are the longest from the first one on
ANSWER_S = 0.4  # of a discovery that is polled; an agent answers at once
HEARTBEAT_S = 2.0
SEEDS = range(4)


class Mode(Enum):
    """What the fake discovery does with a call."""

    SERVE = "serve"
    REJECT = "reject"
    SILENT = "silent"


class FaultyDiscovery(FakeDiscovery):
    """Serves, rejects or says nothing, as its mode is; sends heartbeats while it serves."""

    def __init__(self, answer_s: float) -> None:
        super().__init__()
        self.answer_s = answer_s
        self.mode = Mode.SERVE
        self.pending_rejections = 0  # calls that are rejected although the mode is to serve
        self.called = asyncio.Event()
        self.heartbeat_sent = asyncio.Event()
        self.silenced_watches: list[asyncio.StreamWriter] = []

    async def next_call(self) -> None:
        self.called.clear()
        await self.called.wait()

    def learn_drain(self) -> float:
        """Have a drain in the list from now on; return the time."""
        self.snapshot = {"seq": 42, "whole": True, "hosts": [endpoint_entry("h0", 1, "draining")]}
        return asyncio.get_running_loop().time()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        mode = self._mode_of_call()
        self.called.set()
        if mode is Mode.REJECT:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif mode is Mode.SILENT:
            await reader.read()
        else:
            await asyncio.sleep(self.answer_s)
            await self._answer(target, reader, writer)

    def _mode_of_call(self) -> Mode:
        if self.mode is Mode.SERVE and self.pending_rejections:
            self.pending_rejections -= 1
            return Mode.REJECT
        return self.mode

    async def _answer(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if "stream=1" not in target:
            body = json.dumps(self.snapshot).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        sent_version = int(target.rpartition("=")[2])
        while writer not in self.silenced_watches:
            line = b"\n"
            if self.snapshot["seq"] > sent_version:
                sent_version = self.snapshot["seq"]
                line = json.dumps(self.snapshot).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            self.heartbeat_sent.set()
            await asyncio.sleep(HEARTBEAT_S)
        await reader.read()


Fault = Callable[[FaultyDiscovery, EndpointWatcher], Awaitable[float]]
"""Brings a fault about and then lets discovery learn of a drain; returns when it learned of it."""


async def fail_calls(discovery: FaultyDiscovery, mode: Mode, count: int) -> None:
    """Return when so many calls have failed, the last of them just now."""
    discovery.mode = mode
    discovery.close_connections()
    for _ in range(count):
        await discovery.next_call()


async def move_to_another(discovery: FaultyDiscovery, watcher: EndpointWatcher, rejections: int) -> float:
    other = FaultyDiscovery(discovery.answer_s)
    other.pending_rejections = rejections
    await other.start()
    learned_at = other.learn_drain()
    watcher.move_to(other.address)
    return learned_at


async def rejected_again_and_again(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.REJECT, 5)
    discovery.mode = Mode.SERVE
    return discovery.learn_drain()


async def rejected_once_more_afterwards(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    discovery.pending_rejections = 1
    return await rejected_again_and_again(discovery, watcher)


async def silent_call(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.SILENT, 1)
    discovery.mode = Mode.SERVE
    return discovery.learn_drain()


async def silent_calls_again_and_again(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.SILENT, 5)
    discovery.mode = Mode.SERVE
    return discovery.learn_drain()


async def open_watch_fallen_silent(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
    discovery.heartbeat_sent.clear()
    await discovery.heartbeat_sent.wait()
    discovery.silenced_watches.extend(discovery.watches)
    return discovery.learn_drain()


async def rejection_after_the_silence(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    discovery.pending_rejections = 1
    return await open_watch_fallen_silent(discovery, watcher)


async def connections_that_do_not_come_up(discovery: FaultyDiscovery, _watcher: EndpointWatcher) -> float:
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
    return discovery.learn_drain()


async def move_amid_rejections(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.REJECT, 3)
    return await move_to_another(discovery, watcher, rejections=0)


async def move_to_an_address_that_rejects(discovery: FaultyDiscovery, watcher: EndpointWatcher) -> float:
    await fail_calls(discovery, Mode.SILENT, 1)
    return await move_to_another(discovery, watcher, rejections=1)


FAULTS: list[Fault] = [
    rejected_again_and_again,
    rejected_once_more_afterwards,
    silent_call,
    silent_calls_again_and_again,
    open_watch_fallen_silent,
    rejection_after_the_silence,
    connections_that_do_not_come_up,
    move_amid_rejections,
    move_to_an_address_that_rejects,
]


async def notification_delay(fault: Fault, seed: int, *, is_polled: bool) -> float:
    """Seconds from discovery's learning of a drain, amid a fault, to its delivery."""
    drain_delivered = asyncio.Event()

    def detect_drain(
        _kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
    ) -> None:
        if any(listed.endpoint.state is EndpointState.DRAINING for listed in endpoints):
            drain_delivered.set()

    discovery = FaultyDiscovery(ANSWER_S if is_polled else 0.0)
    backoff = Backoff(GATEWAY_COUNT, 10.0, random.Random(seed))
    async with WatchHarness(service=discovery, backoff=backoff, is_polled=is_polled) as watch:
        watch.listener = detect_drain
        await discovery.heartbeat_sent.wait()
        learned_at = await fault(discovery, watch.client)
        await drain_delivered.wait()
        return asyncio.get_running_loop().time() - learned_at


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("is_polled", [False, True], ids=["pushed", "polled"])
def test_drain_is_delivered_within_the_bound_after(is_polled: bool, fault: Fault) -> None:
    """Danger: a drain that is delivered too late is new work at a backend that has ended."""
    delays: list[float] = []

    async def scenario(seed: int) -> None:
        delays.append(await notification_delay(fault, seed, is_polled=is_polled))

    for seed in SEEDS:
        in_virtual_time(partial(scenario, seed))

    print(f"{fault.__name__}: {max(delays):.2f} s")
    assert len(delays) == len(SEEDS)
    assert max(delays) < NOTIFICATION_BOUND_S
