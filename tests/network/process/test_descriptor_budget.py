"""The program as a process whose descriptors are few: idle clients take as many of them as they can get."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from gateway.network.process.descriptor_budget import RESERVED_DESCRIPTORS, budget_descriptors
from tests.support.gateway_process import connect, launched, port_of, reserve_port
from tests.support.loopback import (
    LOCAL,
    SETTINGS,
    Backend,
    Discovery,
    Peer,
    Reply,
    World,
    host,
    in_loop,
    request,
    until,
)

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
LONG_CLASS = {**SETTINGS["classes"][0], "aim": 50_000.0, "deadline": 60_000.0}


@pytest.mark.parametrize("configured", [1, 40, 41, 64, 96, 1024, 65_536])
def test_budget_leaves_reserved_descriptors_to_neither_clients_nor_backends(configured: int) -> None:
    budget = budget_descriptors(configured)

    assert budget.client_connections >= 1
    assert budget.backend_connections >= 1
    assert sum(budget) <= max(2, configured - RESERVED_DESCRIPTORS)


def test_budget_keeps_within_the_limit_of_the_system(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (96, 4096))

    assert budget_descriptors(1024) == budget_descriptors(96)


def test_budget_is_the_configured_one_where_the_system_has_no_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    assert budget_descriptors(1024) == (512, 256)


class UnavailableDiscovery(Discovery):
    """Discovery that is down at first: nobody listens, or calls are accepted and not answered."""

    def __init__(self, *, is_silent: bool) -> None:
        super().__init__()
        self.is_silent = is_silent
        self.reservation = reserve_port()
        self.recovered = asyncio.Event()

    async def start(self) -> None:
        if self.is_silent:
            await super().start()
        else:
            self.port = port_of(self.reservation)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.recovered.wait()
        await super().talk(reader, writer)

    async def stop(self) -> None:
        if self.is_silent or self.recovered.is_set():
            await super().stop()
        self.reservation.close()

    async def recover(self) -> None:
        if not self.is_silent:
            self.server = await asyncio.start_server(self._accept, LOCAL, self.port)
        self.recovered.set()


class IdleClients:
    """Clients that hold their connections and say nothing; one that is shut out comes again at once."""

    def __init__(self, port: int, count: int) -> None:
        self.port = port
        self.closed_connections = 0
        self.tasks = [asyncio.create_task(self._idle()) for _ in range(count)]

    async def _idle(self) -> None:
        while True:
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(LOCAL, self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                    self.closed_connections += 1

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)


@contextlib.asynccontextmanager
async def idle_clients(port: int, count: int) -> AsyncIterator[IdleClients]:
    clients = IdleClients(port, count)
    try:
        yield clients
    finally:
        await clients.stop()


@contextlib.asynccontextmanager
async def launched_with_descriptors(world: World, folder: Path, limit: int) -> AsyncIterator[int]:
    """The program with `limit` descriptors by its configuration and its system; gives its port."""
    command = ("/bin/sh", "-c", f'ulimit -n {limit} && exec "{sys.executable}" -m gateway')
    with (folder / "log").open("wb") as log:
        async with launched(world, folder, command=command, stderr=log) as gateway:
            yield gateway.port


async def ask_until_served(port: int, *commands: tuple[bytes, ...]) -> None:
    """A client that comes again where it is shut out unread, as clients do; all its requests are served."""
    peer = await connect(port)
    for command in commands:
        while True:
            peer.send(*command)
            if (reply := await peer.receive()) is not None:
                break
            peer.close()
            peer = await connect(port)
        assert reply == b"value"
    peer.close()


def counted_request(id: bytes, customer: int) -> tuple[bytes, ...]:
    """A request whose plan has a quota, so that the counter hears of it."""
    return request(id, plan=b"basic", customer=b"%016x" % customer, wait=60_000)


async def hang(peers: list[Peer], backend: Backend) -> None:
    """Open a request on each connection, each of which takes one connection to the backend."""
    for number, peer in enumerate(peers):
        peer.send(*counted_request(b"hangs%d" % number, number))
        await until(lambda number=number: len(backend.got) > number)  # type: ignore[misc]


async def hang_or_reply(command: list[bytes]) -> Reply:
    return None if command[2].startswith(b"hangs") else VALUE


def endpoint_list(version: int, *hosts: dict[str, Any]) -> dict[str, Any]:
    return {"seq": version, "whole": True, "hosts": list(hosts)}


@pytest.mark.parametrize("limit", [64, 96, 1024])
@pytest.mark.parametrize("is_silent", [False, True], ids=["refuses", "silent"])
def test_idle_clients_leave_descriptors_for_the_watch_the_counter_and_backends(
    is_silent: bool, limit: int, tmp_path: Path
) -> None:
    """All that others may have is taken when discovery recovers; the counter has hung up by then."""

    async def scenario() -> None:
        budget = budget_descriptors(limit)
        old = Backend(hang_or_reply)
        new = Backend()
        world = World(old, new, sockets=limit)
        world.settings = {**SETTINGS, "classes": [LONG_CLASS]}
        discovery = world.discovery = UnavailableDiscovery(is_silent=is_silent)
        world.hosts = lambda: [host("h0", old.port)]  # type: ignore[method-assign]
        async with launched_with_descriptors(world, tmp_path, limit) as port:
            hung = [await connect(port) for _ in range(budget.backend_connections - 1)]
            await hang(hung, old)
            counter_connections = world.counter.accepted
            async with idle_clients(port, 2 * budget.client_connections) as idle:
                # More have been shut out than there are: no descriptor is left for clients.
                await until(lambda: idle.closed_connections > 2 * budget.client_connections)
                await ask_until_served(port, counted_request(b"cached", 1_000))

                world.counter.hang_up()
                discovery.whole = endpoint_list(42, host("h1", new.port))
                await discovery.recover()
                await until(lambda: discovery.watches)
                requests = [counted_request(b"listed%d" % number, 2_000 + number) for number in range(8)]
                await ask_until_served(port, *requests)

                assert len(new.got) == 8
                customers_counted = budget.backend_connections + 8
                await until(lambda: len({words[1] for words in world.counter.got}) >= customers_counted)
                assert world.counter.accepted > counter_connections
                assert "Too many open files" not in (tmp_path / "log").read_text()
            for peer in hung:
                peer.close()

    in_loop(scenario, 50)
