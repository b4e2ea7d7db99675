"""Watches that end or stay unanswered while a change is pending, over loopback sockets."""

from __future__ import annotations

import asyncio
import json

import pytest

from gateway.network.discovery.watch import MAX_UNANSWERED_CALLS
from gateway.network.process.configuration import parse_config
from gateway.network.process.server import GatewayServer
from gateway.policy.events import EndpointState
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import (
    FakeBackend,
    FakeDiscovery,
    PausedDiscovery,
    endpoint_entry,
    endpoint_list_message,
    running_servers,
)
from tests.support.gateway_harness import QUICK_SHUTDOWN, GatewayHarness, running_gateway
from tests.support.watch_harness import (
    LIST_TARGET,
    WatchHarness,
    delta,
    open_watch,
    snapshot,
    watch_target,
)

FIRST_SNAPSHOT_TIMEOUT = "gateway.network.process.server.FIRST_SNAPSHOT_TIMEOUT_S"

# ---- an unresponsive agent ----


@runs_in_loop
async def test_unanswered_call_is_hedged_and_the_first_answered_one_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The gateway is expected to know a change once the agent has it; lost calls must not delay it."""
    monkeypatch.setattr("gateway.network.discovery.stream.HEARTBEAT_TIMEOUT_S", 3600.0)
    agent = PausedDiscovery()
    async with WatchHarness(discovery=agent, retry_interval_s=0.01) as watch:
        await wait_until(lambda: agent.call_count > MAX_UNANSWERED_CALLS)
        assert len(agent.open_connections) <= MAX_UNANSWERED_CALLS + 1, "the number of open calls is bounded"

        agent.resumed.set()
        await wait_until(lambda: len(agent.open_connections) == 1)  # the other calls are closed

        agent.watches = [writer for writer in agent.watches if writer in agent.open_connections]
        agent.send_update(42, endpoint_entry("h0", 1, "draining"))
        await watch.wait_for_updates(1)


@runs_in_loop
async def test_start_waits_for_the_agent_s_endpoint_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The gateway is expected to know drains that the agent has received; the cached list may lack them."""
    monkeypatch.setattr(FIRST_SNAPSHOT_TIMEOUT, 3600.0)
    drained = FakeBackend()
    other = FakeBackend()
    harness = GatewayHarness(drained, other)
    agent = PausedDiscovery()
    harness.discovery = agent

    async def resume_agent() -> None:
        await wait_until(lambda: agent.call_count)
        assert not harness.port, "the gateway must not listen yet"
        first, second = harness.hosts()
        agent.snapshot["hosts"] = [{**first, "health": "draining"}, second]
        agent.resumed.set()

    resumption = asyncio.create_task(resume_agent())
    async with running_gateway(harness):
        await resumption
        peer = await harness.client()

        for number in range(10):
            assert await harness.request(peer, id=b"%d" % number) == b"value"

        assert len(other.received) == 10
        assert not drained.received


@runs_in_loop
async def test_start_proceeds_without_an_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FIRST_SNAPSHOT_TIMEOUT, 0.05)
    harness = GatewayHarness(FakeBackend())
    harness.discovery = PausedDiscovery()
    async with running_servers(*harness.servers):
        ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        gateway = GatewayServer(parse_config(harness.config()), shutdown_schedule=QUICK_SHUTDOWN)

        task = asyncio.create_task(gateway.run(harness.stop, ready.set_result))
        harness.port = await ready

        assert await harness.request(await harness.client()) == b"value"
        harness.stop.set()
        await task


@pytest.mark.parametrize("known", [{"seq": "x"}, {"seq": 3, "hosts": [7]}])
@runs_in_loop
async def test_unreadable_cached_list_does_not_prevent_the_start(known: object) -> None:
    harness = GatewayHarness(FakeBackend())
    config = harness.config
    harness.config = lambda: {**config(), "known": known}  # type: ignore[method-assign]

    async with running_gateway(harness):
        assert await harness.request(await harness.client()) == b"value"


@runs_in_loop
async def test_move_to_an_unresponsive_address_keeps_the_old_watch() -> None:
    """A drain from the old address must still be delivered, as the gateway is expected to know it."""
    async with open_watch(discovery=FakeDiscovery(), retry_interval_s=0.01) as watch:
        new_discovery = PausedDiscovery()
        await new_discovery.start()

        watch.watcher.move_to(new_discovery.address)
        await wait_until(lambda: new_discovery.call_count)
        watch.discovery.send_update(42, endpoint_entry("h0", 1, "draining"))
        await watch.wait_for_updates(1)
        assert watch.updates == [delta(h0=EndpointState.DRAINING)]

        new_discovery.snapshot = endpoint_list_message(7, endpoint_entry("h1", 1))
        new_discovery.resumed.set()
        await wait_until(lambda: new_discovery.watches)
        assert new_discovery.request_targets[-1] == watch_target(7)
        await wait_until(lambda: not watch.discovery.open_connections)
        await new_discovery.stop()


# ---- indented and truncated watch events ----


@pytest.mark.parametrize("indent", [None, 0, 2])
@runs_in_loop
async def test_watch_event_may_span_several_lines(indent: int | None) -> None:
    service = FakeDiscovery()
    service.snapshot = endpoint_list_message(7, endpoint_entry("h0", 1))
    service.indent = indent
    async with open_watch(version=None, discovery=service) as watch:
        entries = [endpoint_entry("h0", 1, "draining"), endpoint_entry("h1", 2)]
        change = endpoint_list_message(8, *entries, is_snapshot=False)

        service.send_line(b"")
        for line in json.dumps(change, indent=indent).encode().split(b"\n"):
            service.send_line(line)
        service.send_line(b"")
        await watch.wait_for_updates(2)

        assert [len(update.states) for update in watch.updates] == [1, 2]
        assert len(service.request_targets) == 2


@pytest.mark.parametrize("following_line", [b"", b'{"seq":43,"whole":false,"hosts":[]}'])
@runs_in_loop
async def test_truncated_watch_event_does_not_swallow_later_ones(following_line: bytes) -> None:
    async with open_watch(version=41) as watch:
        watch.discovery.snapshot = endpoint_list_message(44, endpoint_entry("h1", 1))

        watch.discovery.send_line(b'{"seq":42,"whole":false,"hosts":[{"host":')
        watch.discovery.send_line(following_line)
        await watch.wait_for_watches(2)

        assert watch.discovery.request_targets[1:] == [LIST_TARGET, watch_target(44)]
        assert watch.updates == [snapshot(h1=EndpointState.READY)]
