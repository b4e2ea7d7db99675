"""A change is in force within 6 s of discovery having it, whatever failed before: in virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest

from gateway.network import endpoint_watch as module
from gateway.network.backoff import TOLD_S, Backoff
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.loopback import LOCAL, Discovery, Watch, host
from tests.support.virtual_time import in_virtual_time

FLEET = 200  # its waits after a refusal are the longest from the first one on
ANSWER_S = 0.4  # of a service that has to be asked; an agent answers at once


class Service(Discovery):
    """Serves, refuses or says nothing, as it is told; beats while it serves."""

    def __init__(self, answer_s: float) -> None:
        super().__init__()
        self.mode, self.calls, self.answer_s = "serve", 0, answer_s
        self.refusals = 0  # still to come, whatever the mode
        self.called = asyncio.Event()
        self.beat = asyncio.Event()  # a line has just been written to a watch
        self.silenced: list[asyncio.StreamWriter] = []

    async def next_call(self) -> None:
        self.called.clear()
        await self.called.wait()

    def learn(self) -> float:
        """It has the change from now on; gives the time."""
        self.whole = {"seq": 42, "whole": True, "hosts": [host("h0", 1, "draining")]}
        return asyncio.get_running_loop().time()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        mode = self.mode
        if self.refusals and mode == "serve":
            self.refusals, mode = self.refusals - 1, "refuse"
        self.called.set()
        if mode == "refuse":
            return writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        if mode == "silent":
            await reader.read()
            return
        await asyncio.sleep(self.answer_s)
        body = json.dumps(self.whole).encode()
        if "stream=1" not in target:
            return writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        told = int(target.rpartition("=")[2])
        while writer not in self.silenced:
            line = b"\n"
            if self.whole["seq"] > told:
                told, line = self.whole["seq"], json.dumps(self.whole).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            self.beat.set()
            await asyncio.sleep(2.0)
        await reader.read()


Trouble = Callable[[Service, module.EndpointWatcher], Awaitable[float]]


async def failing(service: Service, mode: str, calls: int) -> None:
    """Until so many calls have failed so, the last of them just now."""
    service.mode = mode
    service.hang_up()
    for _ in range(calls):
        await service.next_call()


async def refused_again_and_again(service: Service, _: module.EndpointWatcher) -> float:
    await failing(service, "refuse", 5)
    service.mode = "serve"
    return service.learn()


async def refused_once_more_since(service: Service, client: module.EndpointWatcher) -> float:
    service.refusals = 1
    return await refused_again_and_again(service, client)


async def a_call_open_and_silent(service: Service, _: module.EndpointWatcher, calls: int = 1) -> float:
    await failing(service, "silent", calls)
    service.mode = "serve"
    return service.learn()


async def calls_silent_again_and_again(service: Service, client: module.EndpointWatcher) -> float:
    return await a_call_open_and_silent(service, client, 5)


async def the_open_watch_fallen_silent(service: Service, _: module.EndpointWatcher) -> float:
    service.beat.clear()
    await service.beat.wait()
    service.silenced.extend(service.watches)
    return service.learn()


async def a_refusal_after_the_silence(service: Service, client: module.EndpointWatcher) -> float:
    service.refusals = 1
    return await the_open_watch_fallen_silent(service, client)


async def connections_that_do_not_come_up(service: Service, client: module.EndpointWatcher) -> float:
    connect, knocked = asyncio.open_connection, asyncio.Event()

    async def lost(*_: object) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        knocked.set()
        await asyncio.sleep(3600)
        raise AssertionError

    asyncio.open_connection = lost  # type: ignore[assignment]
    try:
        service.hang_up()
        for _turn in range(4):
            knocked.clear()
            await knocked.wait()
    finally:
        asyncio.open_connection = connect
    return service.learn()


async def a_new_address_amid_refusals(service: Service, client: module.EndpointWatcher) -> float:
    await failing(service, "refuse", 3)
    other = Service(service.answer_s)
    await other.start()
    at = other.learn()
    client.move_to((LOCAL, other.port))
    return at


async def a_new_address_that_refuses(service: Service, client: module.EndpointWatcher) -> float:
    await failing(service, "silent", 1)
    other = Service(service.answer_s)
    other.refusals = 1
    await other.start()
    at = other.learn()
    client.move_to((LOCAL, other.port))
    return at


TROUBLES: list[Trouble] = [
    refused_again_and_again,
    refused_once_more_since,
    a_call_open_and_silent,
    calls_silent_again_and_again,
    the_open_watch_fallen_silent,
    a_refusal_after_the_silence,
    connections_that_do_not_come_up,
    a_new_address_amid_refusals,
    a_new_address_that_refuses,
]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_a_change_is_told_in_time_after(asked: bool, trouble: Trouble) -> None:
    """Danger: a drain that is heard too late is new work at a backend that has ended."""
    lags = []

    async def scenario(seed: int) -> None:
        watch = Watch(service=Service(ANSWER_S if asked else 0.0))
        async with watch:
            watch.client.busy, watch.client.asked = Backoff(FLEET, 10.0, random.Random(seed)), asked
            service = watch.service
            assert isinstance(service, Service)
            drain_told = asyncio.Event()

            def take(
                scope: UpdateKind,
                members: tuple[module.ListedEndpoint, ...],
                first: bool = True,
                last: bool = True,
            ) -> None:
                if any(member.entry.state is EndpointState.DRAINING for member in members):
                    drain_told.set()

            watch.client.listener = take
            await service.beat.wait()
            had = await trouble(service, watch.client)
            await drain_told.wait()
            lags.append(asyncio.get_running_loop().time() - had)

    for seed in range(4):
        in_virtual_time(lambda: scenario(seed))  # noqa: B023
    assert max(lags) < TOLD_S, f"{max(lags):.2f} s"
    print(f"{trouble.__name__}: {max(lags):.2f} s")
