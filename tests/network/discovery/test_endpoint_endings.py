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
from tests.support.loopback import (
    LOCAL,
    QUICK_SHUTDOWN,
    Backend,
    Discovery,
    Watch,
    World,
    host,
    in_loop,
    running,
    serving,
    until,
)
from tests.support.manual_server import SilentAgent


def test_silent_agent_is_called_again_and_the_first_response_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What it holds at its return counts as notified at once: one lost call must not be waited for."""
    monkeypatch.setattr("gateway.network.discovery.stream.SILENCE_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        async with Watch(service=SilentAgent(), reopen_after_s=0.01) as watch:
            agent = watch.service
            assert isinstance(agent, SilentAgent)
            await until(lambda: agent.calls > MAX_UNANSWERED_CALLS)
            assert len(agent.open) <= MAX_UNANSWERED_CALLS + 1  # and not ever more of them

            agent.resumed.set()
            await until(lambda: len(agent.open) == 1)  # all others are closed

            agent.watches = [writer for writer in agent.watches if writer in agent.open]
            agent.change(42, host("h0", 1, "draining"))
            await until(lambda: watch.heard)

    in_loop(scenario)


def test_start_waits_for_the_agent_s_endpoint_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list in its configuration may be old, and a drain that the agent knows of counts as notified."""
    monkeypatch.setattr("gateway.network.process.server.FIRST_SNAPSHOT_TIMEOUT_S", 3600.0)

    async def scenario() -> None:
        drained = Backend()
        other = Backend()
        world = World(drained, other)
        agent = SilentAgent()
        world.discovery = agent

        async def answer_late() -> None:
            await until(lambda: agent.calls)
            assert not world.port  # nobody may come yet
            first, second = world.hosts()
            agent.whole["hosts"] = [{**first, "health": "draining"}, second]
            agent.resumed.set()

        late = asyncio.create_task(answer_late())
        async with running(world):
            await late
            peer = await world.client()
            for number in range(10):
                assert await world.ask(peer, id=b"%d" % number) == b"value"

            assert len(other.got) == 10
            assert not drained.got

    in_loop(scenario)


def test_start_proceeds_without_an_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.network.process.server.FIRST_SNAPSHOT_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        world = World(Backend())
        world.discovery = SilentAgent()
        async with serving(*world.servers):
            ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
            gateway = GatewayServer(parse_config(world.config()), shutdown_schedule=QUICK_SHUTDOWN)
            task = asyncio.create_task(gateway.run(world.stop, ready.set_result))
            world.port = await ready

            assert await world.ask(await world.client()) == b"value"
            world.stop.set()
            await task

    in_loop(scenario)


@pytest.mark.parametrize("known", [{"seq": "x"}, {"seq": 3, "hosts": [7]}])
def test_unreadable_cached_list_does_not_prevent_the_start(known: object) -> None:
    async def scenario() -> None:
        world = World(Backend())
        config = world.config
        world.config = lambda: {**config(), "known": known}  # type: ignore[method-assign]

        async with running(world):
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_move_to_a_silent_address_keeps_the_old_watch() -> None:
    """A drain that is notified there meanwhile counts."""

    async def scenario() -> None:
        async with Watch(version=41, service=Discovery(), reopen_after_s=0.01) as watch:
            await watch.watched(1)
            silent = SilentAgent()
            await silent.start()

            watch.client.move_to((LOCAL, silent.port))
            await until(lambda: silent.calls)
            watch.service.change(42, host("h0", 1, "draining"))
            await until(lambda: watch.heard)

            silent.whole = {"seq": 7, "whole": True, "hosts": [host("h1", 1)]}
            silent.resumed.set()
            await until(lambda: silent.watches)
            assert silent.requests[-1] == "/catalog/members?stream=1&index=7"
            await until(lambda: not watch.service.open)
            await silent.stop()

    in_loop(scenario)


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_watch_event_may_span_several_lines(indent: int | None) -> None:
    async def scenario() -> None:
        async with Watch(version=None) as watch:
            watch.service.whole = {"seq": 7, "whole": True, "hosts": [host("h0", 1)]}
            watch.service.indent = indent
            await watch.watched(1)

            change = {"seq": 8, "whole": False, "hosts": [host("h0", 1, "draining"), host("h1", 2)]}
            watch.service.say(b"")
            for line in json.dumps(change, indent=indent).encode().split(b"\n"):
                watch.service.say(line)
            watch.service.say(b"")
            await until(lambda: len(watch.heard) == 2)

            assert [len(entries) for _, entries in watch.heard] == [1, 2]
            assert len(watch.service.requests) == 2

    in_loop(scenario)


@pytest.mark.parametrize("after", [b"", b'{"seq":43,"whole":false,"hosts":[]}'])
def test_truncated_watch_event_does_not_swallow_later_ones(after: bytes) -> None:
    async def scenario() -> None:
        async with Watch(version=41) as watch:
            await watch.watched(1)
            watch.service.whole = {"seq": 44, "whole": True, "hosts": [host("h1", 1)]}

            watch.service.say(b'{"seq":42,"whole":false,"hosts":[{"host":')
            watch.service.say(after)
            await watch.watched(2)

            assert watch.service.requests[1:] == ["/catalog/members", "/catalog/members?stream=1&index=44"]
            assert watch.heard == [(UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)])]

    in_loop(scenario)
