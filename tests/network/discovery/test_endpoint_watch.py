"""The watch of the endpoint list, over loopback sockets."""

from __future__ import annotations

import asyncio
import logging
import random
import re

import pytest

from gateway.network.discovery import stream as endpoint_stream
from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.endpoint_list import ListedEndpoint
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeDiscovery, endpoint_entry, endpoint_list_message
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.resp_peer import LOCAL
from tests.support.watch_harness import (
    LIST_TARGET,
    WatchHarness,
    delta,
    open_watch,
    snapshot,
    watch_target,
)

# ---- snapshots and deltas ----


@runs_in_loop
async def test_deltas_are_followed_from_the_known_version_on() -> None:
    async with open_watch(version=41) as watch:
        watch.discovery.send_line(b"")
        watch.discovery.send_update(42, endpoint_entry("h0", 1, "draining"))
        watch.discovery.send_update(43, endpoint_entry("h1", 1), is_snapshot=True)
        await watch.wait_for_updates(2)

        assert watch.discovery.request_targets == [watch_target(41)]
        assert watch.updates == [delta(h0=EndpointState.DRAINING), snapshot(h1=EndpointState.READY)]


@runs_in_loop
async def test_snapshot_is_read_first_without_a_known_version() -> None:
    service = FakeDiscovery()
    service.snapshot = endpoint_list_message(7, endpoint_entry("h0", 1))
    async with open_watch(version=None, discovery=service) as watch:
        assert service.request_targets == [LIST_TARGET, watch_target(7)]
        assert watch.updates == [snapshot(h0=EndpointState.READY)]


@runs_in_loop
async def test_malformed_delta_is_followed_by_a_snapshot() -> None:
    async with open_watch() as watch:
        watch.discovery.send_update(42, {"host": "h0"})
        await watch.wait_for_watches(2)

        assert watch.discovery.request_targets[1] == LIST_TARGET
        assert [update.kind for update in watch.updates] == [UpdateKind.SNAPSHOT]


@runs_in_loop
async def test_watch_continues_after_an_error_of_the_listener() -> None:
    async with open_watch() as watch:
        errors = [RuntimeError("the listener failed")]

        def fail_once(
            kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
        ) -> None:
            if errors:
                raise errors.pop()
            watch.record(kind, endpoints, is_first, is_last)

        watch.listener = fail_once
        watch.discovery.snapshot = endpoint_list_message(43, endpoint_entry("h1", 1))

        watch.discovery.send_update(42, endpoint_entry("h0", 1))
        await watch.wait_for_watches(2)

        assert watch.updates == [snapshot(h1=EndpointState.READY)]


# ---- reopening ----


@runs_in_loop
async def test_closed_watch_is_reopened_at_the_last_version() -> None:
    async with open_watch() as watch:
        watch.discovery.send_update(50, endpoint_entry("h0", 1))
        await watch.wait_for_updates(1)

        watch.discovery.close_connections()
        await watch.wait_for_watches(2)

        assert watch.discovery.request_targets[-1] == watch_target(50)


@runs_in_loop
async def test_end_of_a_watch_is_logged_with_peer_and_consequence(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    async with open_watch() as watch:
        watch.discovery.close_connections()
        await watch.wait_for_watches(2)

        pattern = (
            rf"discovery watch at {LOCAL}:{watch.discovery.port} failed "
            r"\(RemoteProtocolError: peer closed connection .*\) "
            r"after \d+\.\d s; reopening in 0\.1 s"
        )
        assert any(re.fullmatch(pattern, message) for message in caplog.messages)


@runs_in_loop
async def test_watch_without_heartbeats_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer that becomes unreachable does not close the connection, and the list would go stale."""
    monkeypatch.setattr(endpoint_stream, "HEARTBEAT_TIMEOUT_S", 0.05)
    async with open_watch() as watch:
        await watch.wait_for_watches(2)


class OverloadedDiscovery(FakeDiscovery):
    """Rejects all calls as overloaded."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.request_targets.append("rejected")
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


class RecordingBackoff(Backoff):
    """Records its delays; returns 0 for the first two, then 1 h, so that the test makes no further calls."""

    __slots__ = ("delays",)

    def __init__(self) -> None:
        super().__init__(15, 10.0, random.Random(1))
        self.delays: list[float] = []

    def next_delay(self) -> float:
        self.delays.append(super().next_delay())
        return 0.0 if len(self.delays) < 3 else 3600.0


@runs_in_loop
async def test_overloaded_discovery_is_called_again_after_the_backoff_only() -> None:
    """A fleet that retried at a fixed interval would prolong the overload of discovery."""
    backoff = RecordingBackoff()
    async with WatchHarness(discovery=OverloadedDiscovery(), backoff=backoff) as watch:
        await wait_until(lambda: len(backoff.delays) == 3)

        assert watch.discovery.request_targets == ["rejected"] * 3
        assert backoff.delays[0] >= 0.5, "the first delay grows with the fleet"
        assert backoff.delays[2] > backoff.delays[0], "each rejection doubles the delay"


@runs_in_loop
async def test_rejection_is_logged_with_peer_status_and_delay(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    backoff = RecordingBackoff()
    async with WatchHarness(discovery=OverloadedDiscovery(), backoff=backoff) as watch:
        await wait_until(lambda: len(backoff.delays) == 3)

        peer = f"{LOCAL}:{watch.discovery.port}"
        pattern = (
            rf"discovery watch at {peer} rejected as overloaded "
            rf"\(DiscoveryOverloadedError: discovery at {peer} shed the call with HTTP status 503\) "
            r"after \d+\.\d s; reopening in 0\.0 s"
        )
        (message,) = caplog.messages
        assert re.fullmatch(pattern, message)


# ---- change of the address ----


@runs_in_loop
async def test_move_reads_a_snapshot_at_the_new_address_first() -> None:
    async with open_watch() as watch:
        await check_move(watch, "h0")
        await check_move(watch, "h1")  # a second move works as well


async def check_move(watch: WatchHarness, new_host: str) -> None:
    """Move a watch to a new discovery with one host; check its snapshot and the end of the old watch."""
    old_discovery = watch.discovery
    new_discovery = FakeDiscovery()
    new_discovery.snapshot = endpoint_list_message(7, endpoint_entry(new_host, 1))
    await new_discovery.start()

    watch.watcher.move_to(new_discovery.address)
    watch.discovery = new_discovery
    await watch.wait_for_watches(1)

    assert new_discovery.request_targets == [LIST_TARGET, watch_target(7)]
    assert watch.updates[-1] == snapshot(**{new_host: EndpointState.READY})
    await wait_until(lambda: not old_discovery.open_connections)
    await old_discovery.stop()


@runs_in_loop
async def test_move_does_not_wait_for_the_next_reopening() -> None:
    async with open_watch(retry_interval_s=3600.0) as watch:
        watch.discovery.close_connections()
        await wait_until(lambda: not watch.discovery.open_connections)

        watch.watcher.move_to(watch.discovery.address)
        await watch.wait_for_watches(2)

        assert watch.discovery.request_targets[1:] == [LIST_TARGET, watch_target(1)]


# ---- a gateway with an endpoint list ----


@runs_in_loop
async def test_draining_backend_gets_no_new_requests_and_a_new_one_does() -> None:
    first = FakeBackend()
    second = FakeBackend()
    await second.start()
    async with running_gateway(GatewayHarness(first)) as harness:
        peer = await harness.client()
        assert await harness.request(peer) == b"value"

        draining = endpoint_entry("h0", first.port, "draining")
        harness.discovery.send_update(42, draining, endpoint_entry("h9", second.port))
        # The idle connection is closed when the delta is applied.
        await wait_until(lambda: first.closed_by_gateway_count)
        for number in range(3):
            assert await harness.request(peer, id=b"%d" % number) == b"value"

        assert len(first.received) == 1
        assert len(second.received) == 3
    await second.stop()


@runs_in_loop
async def test_last_entry_of_a_backend_listed_twice_counts() -> None:
    first = FakeBackend()
    second = FakeBackend()
    await second.start()
    async with running_gateway(GatewayHarness(first)) as harness:
        peer = await harness.client()

        ready = endpoint_entry("h0", first.port)
        draining = endpoint_entry("h0", first.port, "draining")
        other = endpoint_entry("h9", second.port)
        harness.discovery.send_update(42, ready, draining, other, is_snapshot=True)
        while not second.received:
            assert await harness.request(peer, id=b"%d" % len(first.received)) == b"value"
        count_before = len(first.received)
        for number in range(5):
            assert await harness.request(peer, id=b"x%d" % number) == b"value"

        assert len(first.received) == count_before
        assert len(second.received) == 6
        assert len(harness.discovery.watches) == 1, "the list was accepted, so the watch was not reopened"
    await second.stop()
