"""The program as a process whose descriptors are few: idle clients take what they can get of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gateway.network.descriptor_budget import budget_descriptors
from tests.network.test_process import ROOT, connect
from tests.support.loopback import (
    LOCAL,
    SETTINGS,
    Backend,
    Discovery,
    Reply,
    World,
    host,
    in_loop,
    request,
    until,
)


class Down(Discovery):
    """Discovery that is down at first: nobody listens, or calls are taken and not answered."""

    def __init__(self, silent: bool) -> None:
        super().__init__()
        self.silent, self.up = silent, asyncio.Event()

    async def start(self) -> None:
        if self.silent:
            return await super().start()
        with socket.create_server((LOCAL, 0)) as free:
            self.port = free.getsockname()[1]

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.up.wait()
        await super().talk(reader, writer)

    async def stop(self) -> None:
        if self.silent or self.up.is_set():
            await super().stop()

    async def come_back(self) -> None:
        if not self.silent:
            self.server = await asyncio.start_server(self._accept, LOCAL, self.port)
        self.up.set()


@contextlib.asynccontextmanager
async def limited(world: World, folder: Path, most: int) -> AsyncIterator[int]:
    """The program with so many descriptors, by its configuration and its system; gives its port."""
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    with socket.create_server((LOCAL, 0)) as free:
        port = free.getsockname()[1]
    config = folder / "config.json"
    config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{port}"}))
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f'ulimit -n {most} && exec "{sys.executable}" -m gateway',
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(config)},
            stderr=log,
        )
    try:
        yield port
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in servers:
            await server.stop()


class Idlers:
    """Clients that hold their connections and say nothing; one that is shut out comes again at once."""

    def __init__(self, port: int, count: int) -> None:
        self.port, self.turns = port, 0
        self.tasks = [asyncio.create_task(self.idle()) for _ in range(count)]

    async def idle(self) -> None:
        while True:
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(LOCAL, self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                    self.turns += 1

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)


async def ask(port: int, *requests: tuple[bytes, ...]) -> None:
    """A client that comes again where it is shut out unread, as clients do; all its requests are served."""
    peer = await connect(port)
    for command in requests:
        while True:
            peer.send(*command)
            if (answer := await peer.receive()) is not None:
                break
            peer.close()
            peer = await connect(port)
        assert answer == b"value"
    peer.close()


def counted(id: bytes, customer: int) -> tuple[bytes, ...]:
    return request(id, plan=b"basic", customer=b"%016x" % customer, wait=60_000)


PATIENT = {**SETTINGS["classes"][0], "aim": 50_000.0, "deadline": 60_000.0}


@pytest.mark.parametrize("most", [64, 96, 1024])
@pytest.mark.parametrize("silent", [False, True], ids=["refuses", "silent"])
def test_idle_clients_leave_descriptors_for_the_watch_the_counter_and_backends(
    silent: bool, most: int, tmp_path: Path
) -> None:
    """All that the others may have is taken when discovery comes back; the counter has hung up by then."""

    async def hangs(command: list[bytes]) -> Reply:
        return None if command[2].startswith(b"hangs") else b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def scenario() -> None:
        for_clients, for_backends = budget_descriptors(most)
        old, new = Backend(hangs), Backend()
        world = World(old, new, sockets=most)
        world.settings = {**SETTINGS, "classes": [PATIENT]}
        discovery = world.discovery = Down(silent)
        world.hosts = lambda: [host("h0", old.port)]  # type: ignore[method-assign]
        async with limited(world, tmp_path, most) as port:
            hung = [await connect(port) for _ in range(for_backends - 1)]
            for number, peer in enumerate(hung):
                peer.send(*counted(b"hangs%d" % number, number))
                await until(lambda number=number: len(old.got) > number)  # type: ignore[misc]
            lanes = world.counter.accepted
            idlers = Idlers(port, 2 * for_clients)
            await until(lambda: idlers.turns > 2 * for_clients)  # there is no more room for them
            await ask(port, counted(b"known", 1_000))
            world.counter.hang_up()
            discovery.whole = {"seq": 42, "whole": True, "hosts": [host("h1", new.port)]}
            await discovery.come_back()
            await until(lambda: discovery.watches)
            await ask(port, *(counted(b"told%d" % number, 2_000 + number) for number in range(8)))
            assert len(new.got) == 8
            await until(lambda: len({words[1] for words in world.counter.got}) >= for_backends + 8)
            assert world.counter.accepted > lanes
            assert "Too many open files" not in (tmp_path / "log").read_text()
            await idlers.stop()
            for peer in hung:
                peer.close()

    in_loop(scenario, 50)
