"""Ways in which an endpoint watch ends or stays silent, on real sockets, while a change is owed."""

from __future__ import annotations

import asyncio
import json

import pytest

from gateway.network.discovery.endpoint_list import backend_id_of
from gateway.network.discovery.watch import MAX_UNANSWERED_CALLS
from gateway.network.process.configuration import parse_config
from gateway.network.process.server import GatewayServer
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeDiscovery, endpoint_entry, running_servers
from tests.support.gateway_harness import QUICK_SHUTDOWN, GatewayHarness, running_gateway
from tests.support.manual_server import SilentAgent
from tests.support.watch_harness import WatchHarness


def test_silent_agent_is_called_again_and_the_first_response_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What it holds at its return counts as notified at once: one lost call must not be waited for."""
    monkeypatch.setattr("gateway.network.discovery.stream.SILENCE_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        async with WatchHarness(service=SilentAgent(), reopen_after_s=0.01) as watch:
            agent = watch.service
            assert isinstance(agent, SilentAgent)
            await wait_until(lambda: agent.calls > MAX_UNANSWERED_CALLS)
            assert len(agent.open) <= MAX_UNANSWERED_CALLS + 1  # and not ever more of them

            agent.resumed.set()
            await wait_until(lambda: len(agent.open) == 1)  # all others are closed

            agent.watches = [writer for writer in agent.watches if writer in agent.open]
            agent.send_update(42, endpoint_entry("h0", 1, "draining"))
            await wait_until(lambda: watch.updates)

    run_in_loop(scenario)


def test_start_waits_for_the_agent_s_endpoint_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list in its configuration may be old, and a drain that the agent knows of counts as notified."""
    monkeypatch.setattr("gateway.network.process.server.FIRST_SNAPSHOT_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        drained = FakeBackend()
        other = FakeBackend()
        harness = GatewayHarness(drained, other)
        agent = SilentAgent()
        harness.discovery = agent

        async def answer_late() -> None:
            await wait_until(lambda: agent.calls)
            assert not harness.port  # nobody may come yet
            first, second = harness.hosts()
            agent.snapshot["hosts"] = [{**first, "health": "draining"}, second]
            agent.resumed.set()

        late = asyncio.create_task(answer_late())
        async with running_gateway(harness):
            await late
            peer = await harness.client()
            for number in range(10):
                assert await harness.request(peer, id=b"%d" % number) == b"value"

            assert len(other.received) == 10
            assert not drained.received

    run_in_loop(scenario)


def test_start_proceeds_without_an_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.network.process.server.FIRST_SNAPSHOT_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        harness = GatewayHarness(FakeBackend())
        harness.discovery = SilentAgent()
        async with running_servers(*harness.servers):
            ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            gateway = GatewayServer(parse_config(harness.config()), shutdown_schedule=QUICK_SHUTDOWN)
            task = asyncio.create_task(gateway.run(harness.stop, ready.set_result))
            harness.port = await ready

            assert await harness.request(await harness.client()) == b"value"
            harness.stop.set()
            await task

    run_in_loop(scenario)


@pytest.mark.parametrize("known", [{"seq": "x"}, {"seq": 3, "hosts": [7]}])
def test_unreadable_cached_list_does_not_prevent_the_start(known: object) -> None:
    async def scenario() -> None:
        harness = GatewayHarness(FakeBackend())
        config = harness.config
        harness.config = lambda: {**config(), "known": known}  # type: ignore[method-assign]

        async with running_gateway(harness):
            assert await harness.request(await harness.client()) == b"value"

    run_in_loop(scenario)


def test_move_to_a_silent_address_keeps_the_old_watch() -> None:
    """A drain that is notified there meanwhile counts."""

    async def scenario() -> None:
        async with WatchHarness(version=41, service=FakeDiscovery(), reopen_after_s=0.01) as watch:
            await watch.wait_for_watches(1)
            silent = SilentAgent()
            await silent.start()

            watch.client.move_to(silent.address)
            await wait_until(lambda: silent.calls)
            watch.service.send_update(42, endpoint_entry("h0", 1, "draining"))
            await wait_until(lambda: watch.updates)

            silent.snapshot = {"seq": 7, "whole": True, "hosts": [endpoint_entry("h1", 1)]}
            silent.resumed.set()
            await wait_until(lambda: silent.watches)
            assert silent.requests[-1] == "/catalog/members?stream=1&index=7"
            await wait_until(lambda: not watch.service.open)
            await silent.stop()

    run_in_loop(scenario)


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_watch_event_may_span_several_lines(indent: int | None) -> None:
    async def scenario() -> None:
        async with WatchHarness(version=None) as watch:
            watch.service.snapshot = {"seq": 7, "whole": True, "hosts": [endpoint_entry("h0", 1)]}
            watch.service.indent = indent
            await watch.wait_for_watches(1)

            change = {
                "seq": 8,
                "whole": False,
                "hosts": [endpoint_entry("h0", 1, "draining"), endpoint_entry("h1", 2)],
            }
            watch.service.send_line(b"")
            for line in json.dumps(change, indent=indent).encode().split(b"\n"):
                watch.service.send_line(line)
            watch.service.send_line(b"")
            await wait_until(lambda: len(watch.updates) == 2)

            assert [len(entries) for _, entries in watch.updates] == [1, 2]
            assert len(watch.service.requests) == 2

    run_in_loop(scenario)


@pytest.mark.parametrize("after", [b"", b'{"seq":43,"whole":false,"hosts":[]}'])
def test_truncated_watch_event_does_not_swallow_later_ones(after: bytes) -> None:
    async def scenario() -> None:
        async with WatchHarness(version=41) as watch:
            await watch.wait_for_watches(1)
            watch.service.snapshot = {"seq": 44, "whole": True, "hosts": [endpoint_entry("h1", 1)]}

            watch.service.send_line(b'{"seq":42,"whole":false,"hosts":[{"host":')
            watch.service.send_line(after)
            await watch.wait_for_watches(2)

            assert watch.service.requests[1:] == ["/catalog/members", "/catalog/members?stream=1&index=44"]
            assert watch.updates == [(UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)])]

    run_in_loop(scenario)
