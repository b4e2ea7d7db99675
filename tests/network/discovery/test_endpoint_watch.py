"""Watching the endpoint list, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections import Counter
from typing import Any

import pytest

from gateway.network.discovery import stream as endpoint_stream
from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.delivery import ENDPOINTS_PER_TURN
from gateway.network.discovery.endpoint_list import (
    EndpointListError,
    ListedEndpoint,
    backend_id_of,
    parse_endpoint_list,
)
from gateway.policy import GatewayPolicy
from gateway.policy.events import EndpointState, EndpointUpdate, UpdateKind
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeDiscovery, endpoint_entry
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.policy_settings import settings
from tests.support.resp_peer import LOCAL
from tests.support.watch_harness import WatchHarness

LIST_LENGTH = 1_000  # endpoints, far more than are delivered in one turn


def test_deltas_are_followed_from_the_known_version_on() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)

            watch.service.send_line(b"")
            watch.service.send_update(42, endpoint_entry("h0", 1, "draining"))
            watch.service.send_update(43, endpoint_entry("h1", 1), is_snapshot=True)
            await wait_until(lambda: len(watch.updates) == 2)

            assert watch.service.requests == ["/catalog/members?stream=1&index=41"]
            assert watch.updates == [
                (UpdateKind.DELTA, [(backend_id_of("h0"), EndpointState.DRAINING)]),
                (UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)]),
            ]

    run_in_loop(scenario)


def test_snapshot_is_read_first_without_a_known_version() -> None:
    async def scenario() -> None:
        async with WatchHarness(version=None) as watch:
            watch.service.snapshot = {"seq": 7, "whole": True, "hosts": [endpoint_entry("h0", 1)]}

            await watch.wait_for_watches(1)

            assert watch.service.requests == ["/catalog/members", "/catalog/members?stream=1&index=7"]
            assert [kind for kind, _ in watch.updates] == [UpdateKind.SNAPSHOT]

    run_in_loop(scenario)


def test_closed_watch_is_reopened_at_the_last_version() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)
            watch.service.send_update(50, endpoint_entry("h0", 1))
            await wait_until(lambda: watch.updates)

            watch.service.close_connections()
            await watch.wait_for_watches(2)

            assert watch.service.requests[-1] == "/catalog/members?stream=1&index=50"

    run_in_loop(scenario)


def test_end_of_a_watch_is_logged_with_peer_and_consequence(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)

            watch.service.close_connections()
            await watch.wait_for_watches(2)

            pattern = (
                rf"watch of {LOCAL}:{watch.service.port} failed "
                r"\(RemoteProtocolError: peer closed connection .*\) "
                r"after \d+\.\d s; reopening in 0\.1 s"
            )
            assert any(re.fullmatch(pattern, message) for message in caplog.messages)

    run_in_loop(scenario)


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host that is cut off sends no end, and the list would stay as it was for ever."""
    monkeypatch.setattr(endpoint_stream, "SILENCE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(2)

    run_in_loop(scenario)


def test_malformed_delta_brings_a_snapshot() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)

            watch.service.send_update(42, {"host": "h0"})
            await watch.wait_for_watches(2)

            assert watch.service.requests[1] == "/catalog/members"
            assert [kind for kind, _ in watch.updates] == [UpdateKind.SNAPSHOT]

    run_in_loop(scenario)


def test_watch_outlives_a_fault_of_the_listener() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)
            faults = [RuntimeError("not now")]

            def fail_once(
                kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
            ) -> None:
                if faults:
                    raise faults.pop()
                watch.record(kind, endpoints, is_first, is_last)

            watch.listener = fail_once
            watch.service.snapshot = {"seq": 43, "whole": True, "hosts": [endpoint_entry("h1", 1)]}

            watch.service.send_update(42, endpoint_entry("h0", 1))
            await watch.wait_for_watches(2)

            assert watch.updates == [(UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)])]

    run_in_loop(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "hosts": [{"host": "h", "dial": "nowhere", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]},
        {"seq": 1, "hosts": [3]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "a:1", "health": "up", "block": 2**63}]},
    ],
)
def test_malformed_list_raises_endpoint_list_error(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        parse_endpoint_list(raw)


def test_host_name_has_one_backend_id() -> None:
    assert backend_id_of("s-5be2a07c") == backend_id_of("s-5be2a07c")
    assert backend_id_of("s-5be2a07c") != backend_id_of("s-5be2a07d")


def test_draining_backend_gets_no_new_requests_and_a_new_one_does() -> None:
    async def scenario() -> None:
        first, second = FakeBackend(), FakeBackend()
        harness = GatewayHarness(first)
        await second.start()
        async with running_gateway(harness):
            peer = await harness.client()
            assert await harness.request(peer) == b"value"

            harness.discovery.send_update(
                42, endpoint_entry("h0", first.port, "draining"), endpoint_entry("h9", second.port)
            )
            await wait_until(lambda: first.ended)  # the idle connection closes as the delta is applied
            for number in range(3):
                assert await harness.request(peer, id=b"%d" % number) == b"value"

            assert len(first.received) == 1
            assert len(second.received) == 3
        await second.stop()

    run_in_loop(scenario)


def test_move_reads_a_snapshot_at_the_new_address_first() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)
            await check_move(watch, "h0")
            await check_move(watch, "h1")  # a second move is as good

    run_in_loop(scenario)


async def check_move(watch: WatchHarness, new_host: str) -> None:
    """Move a watch to a new discovery that lists one host, and close the old discovery."""
    old_discovery = watch.service
    new_discovery = FakeDiscovery()
    new_discovery.snapshot = {"seq": 7, "whole": True, "hosts": [endpoint_entry(new_host, 1)]}
    await new_discovery.start()

    watch.client.move_to(new_discovery.address)
    watch.service = new_discovery
    await watch.wait_for_watches(1)

    assert new_discovery.requests == ["/catalog/members", "/catalog/members?stream=1&index=7"]
    assert watch.updates[-1] == (UpdateKind.SNAPSHOT, [(backend_id_of(new_host), EndpointState.READY)])
    await wait_until(lambda: not old_discovery.open)
    await old_discovery.stop()


def test_move_does_not_wait_for_the_next_reopening() -> None:
    async def scenario() -> None:
        async with WatchHarness(reopen_after_s=3600.0) as watch:
            await watch.wait_for_watches(1)
            watch.service.close_connections()
            await wait_until(lambda: not watch.service.open)

            watch.client.move_to(watch.service.address)
            await watch.wait_for_watches(2)

            assert watch.service.requests[1:] == ["/catalog/members", "/catalog/members?stream=1&index=1"]

    run_in_loop(scenario)


class OverloadedDiscovery(FakeDiscovery):
    """Rejects each call as overloaded."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests.append("rejected")
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


class RecordingBackoff(Backoff):
    """Notes its delays; the first two pass at once and the third one outlasts the test."""

    __slots__ = ("delays",)

    def __init__(self) -> None:
        super().__init__(15, 10.0, random.Random(1))
        self.delays: list[float] = []

    def next_delay(self) -> float:
        self.delays.append(super().next_delay())
        return 0.0 if len(self.delays) < 3 else 3600.0


def test_overloaded_discovery_is_left_alone_as_long_as_the_backoff_says() -> None:
    """Danger: a fleet that polls again each second keeps discovery too busy to answer any of it."""

    async def scenario() -> None:
        backoff = RecordingBackoff()
        async with WatchHarness(service=OverloadedDiscovery(), backoff=backoff) as watch:
            await wait_until(lambda: len(backoff.delays) == 3)

            assert watch.service.requests == ["rejected"] * 3
            assert backoff.delays[0] >= 0.5, "the first delay grows with the fleet"
            assert backoff.delays[2] > backoff.delays[0], "each rejection doubles the delay"

    run_in_loop(scenario)


def long_list(seq: int, health: str = "up") -> dict[str, Any]:
    return {
        "seq": seq,
        "whole": True,
        "hosts": [endpoint_entry(f"h{number}", 1, health) for number in range(LIST_LENGTH)],
    }


@pytest.mark.parametrize("order", [["seq", "whole", "hosts"], ["hosts", "whole", "seq"]])
def test_long_list_is_delivered_in_parts_with_turns_between(order: list[str]) -> None:
    """Danger: read in one piece, a list of 39,000 holds up all requests for most of a second."""

    async def scenario() -> None:
        async with WatchHarness(version=None) as watch:
            parts: list[tuple[int, bool, bool]] = []
            turns_at: list[int] = []
            turns = 0

            def note_part(
                kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
            ) -> None:
                assert kind is UpdateKind.SNAPSHOT
                parts.append((len(endpoints), is_first, is_last))
                turns_at.append(turns)

            watch.listener = note_part
            message = long_list(7)
            watch.service.snapshot = {name: message[name] for name in order}

            while not watch.client.snapshot_received.is_set():
                await asyncio.sleep(0)
                turns += 1

            assert sum(count for count, _, _ in parts) == LIST_LENGTH
            assert max(count for count, _, _ in parts) <= ENDPOINTS_PER_TURN
            assert [first for _, first, _ in parts] == [True] + [False] * (len(parts) - 1)
            assert [last for _, _, last in parts] == [False] * (len(parts) - 1) + [True]
            assert max(Counter(turns_at).values()) <= 2, "the event loop runs between parts"

    run_in_loop(scenario)


def test_many_deltas_that_arrive_together_leave_turns_between() -> None:
    async def scenario() -> None:
        async with WatchHarness() as watch:
            await watch.wait_for_watches(1)
            turns = 0
            endpoints_by_turn: Counter[int] = Counter()

            def count_endpoints(
                _kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
            ) -> None:
                endpoints_by_turn[turns] += len(endpoints)

            watch.listener = count_endpoints

            for number in range(LIST_LENGTH):
                watch.service.send_update(42 + number, endpoint_entry(f"h{number}", 1))
            while endpoints_by_turn.total() < LIST_LENGTH:
                await asyncio.sleep(0)
                turns += 1

            assert max(endpoints_by_turn.values()) <= ENDPOINTS_PER_TURN

    run_in_loop(scenario)


def test_long_list_that_is_cut_short_puts_nothing_new_in_force() -> None:
    """Its first parts are with the policy by then; a complete snapshot follows."""

    async def scenario() -> None:
        async with WatchHarness() as watch:
            gateway = GatewayPolicy(settings(), 1)
            last_flags: list[bool] = []

            def apply(
                kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
            ) -> None:
                last_flags.append(is_last)
                entries = tuple(listed.endpoint for listed in endpoints)
                gateway.handle(1.0, EndpointUpdate(kind, entries, is_first, is_last))

            watch.listener = apply
            await watch.wait_for_watches(1)
            broken = long_list(43)
            broken["hosts"][-1] = {"host": "h"}
            watch.service.snapshot = {"seq": 44, "whole": True, "hosts": [endpoint_entry("good", 1)]}

            watch.service.send_line(json.dumps(broken).encode())
            await watch.wait_for_watches(2)

            assert len(last_flags) > 2
            assert last_flags[-1]
            assert not any(last_flags[:-1])
            assert [backend.id for backend in gateway.subset] == [backend_id_of("good")]

    run_in_loop(scenario)


def test_last_entry_of_a_backend_listed_twice_counts() -> None:
    async def scenario() -> None:
        first, second = FakeBackend(), FakeBackend()
        harness = GatewayHarness(first)
        await second.start()
        async with running_gateway(harness):
            peer = await harness.client()

            ready_then_draining = [
                endpoint_entry("h0", first.port),
                endpoint_entry("h0", first.port, "draining"),
            ]
            harness.discovery.send_update(
                42, *ready_then_draining, endpoint_entry("h9", second.port), is_snapshot=True
            )
            while not second.received:
                assert await harness.request(peer, id=b"%d" % len(first.received)) == b"value"
            count_before = len(first.received)
            for number in range(5):
                assert await harness.request(peer, id=b"x%d" % number) == b"value"

            assert len(first.received) == count_before
            assert len(second.received) == 6
            assert len(harness.discovery.watches) == 1, "the list was accepted"
        await second.stop()

    run_in_loop(scenario)
