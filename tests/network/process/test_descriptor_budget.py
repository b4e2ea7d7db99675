"""The file descriptor budget, and a gateway process whose client share is exhausted by idle clients."""

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
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeDiscovery, ScriptedReply, endpoint_entry
from tests.support.gateway_harness import SETTINGS, GatewayHarness
from tests.support.gateway_process import (
    connect_when_listening,
    port_of,
    reserve_port,
    running_gateway_process,
)
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL, RespPeer

VALUE_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
LONG_CLASS = {**SETTINGS["classes"][0], "aim": 50_000.0, "deadline": 60_000.0}


@pytest.mark.parametrize("configured", [1, 40, 41, 64, 96, 1024, 65_536])
def test_budget_keeps_reserved_descriptors_from_clients_and_backends(configured: int) -> None:
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


class UnavailableDiscovery(FakeDiscovery):
    """Discovery that refuses connections, or accepts them without responding, until `recover` is called."""

    def __init__(self, *, accepts_connections: bool) -> None:
        super().__init__()
        self.accepts_connections = accepts_connections
        self.reservation = reserve_port()
        self.recovered = asyncio.Event()

    async def start(self) -> None:
        if self.accepts_connections:
            await super().start()
        else:
            self.port = port_of(self.reservation)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.recovered.wait()
        await super().handle_connection(reader, writer)

    async def stop(self) -> None:
        if self.accepts_connections or self.recovered.is_set():
            await super().stop()
        self.reservation.close()

    async def recover(self) -> None:
        if not self.accepts_connections:
            self.server = await asyncio.start_server(self._accept, LOCAL, self.port)
        self.recovered.set()


class IdleClients:
    """Clients that hold idle connections and reconnect as soon as one is closed."""

    def __init__(self, port: int, count: int) -> None:
        self.port = port
        self.closed_connection_count = 0
        self.tasks = [asyncio.create_task(self._idle()) for _ in range(count)]

    async def _idle(self) -> None:
        while True:
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(LOCAL, self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                    self.closed_connection_count += 1

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
async def launched_with_descriptor_limit(
    harness: GatewayHarness, folder: Path, limit: int
) -> AsyncIterator[int]:
    """Run a gateway process, with `limit` as its configured and its soft descriptor limit; yield its port."""
    command = ("/bin/sh", "-c", f'ulimit -n {limit} && exec "{sys.executable}" -m gateway')
    with (folder / "log").open("wb") as log:
        async with running_gateway_process(harness, folder, command=command, stderr=log) as gateway:
            yield gateway.port


async def request_until_served(port: int, *commands: tuple[bytes, ...]) -> None:
    """Send each request until it is served, and reconnect whenever the connection closes without a reply."""
    peer = await connect_when_listening(port)
    for command in commands:
        while True:
            peer.send(*command)
            if (reply := await peer.receive()) is not None:
                break
            peer.close()
            peer = await connect_when_listening(port)
        assert reply == b"value"
    peer.close()


def counted_request(id: bytes, customer: int) -> tuple[bytes, ...]:
    """Return a request whose plan has a quota, so the gateway reports it to the counter."""
    return request_command(id, plan=b"basic", customer=b"%016x" % customer, remaining_ms=60_000)


async def open_hanging_requests(peers: list[RespPeer], backend: FakeBackend) -> None:
    """On each client connection, send a request that gets no reply and so occupies a backend connection."""
    for number, peer in enumerate(peers):
        peer.send(*counted_request(b"hangs%d" % number, number))
        await wait_until(lambda number=number: len(backend.received) > number)  # type: ignore[misc]


async def hang_or_reply(command: list[bytes]) -> ScriptedReply:
    return None if command[2].startswith(b"hangs") else VALUE_REPLY


def endpoint_list(version: int, *hosts: dict[str, Any]) -> dict[str, Any]:
    return {"seq": version, "whole": True, "hosts": list(hosts)}


@pytest.mark.parametrize("limit", [64, 96, 1024])
@pytest.mark.parametrize("accepts_connections", [False, True], ids=["connection refused", "no response"])
def test_idle_clients_leave_descriptors_for_the_watch_the_counter_and_backends(
    accepts_connections: bool, limit: int, tmp_path: Path
) -> None:
    """Discovery recovers and the counter reconnects while clients and backends have exhausted their shares.

    Without reserved descriptors, both connections would fail.
    """

    async def scenario() -> None:
        budget = budget_descriptors(limit)
        old_backend = FakeBackend(hang_or_reply)
        new_backend = FakeBackend()
        harness = GatewayHarness(old_backend, new_backend, sockets=limit)
        harness.settings = {**SETTINGS, "classes": [LONG_CLASS]}
        discovery = harness.discovery = UnavailableDiscovery(accepts_connections=accepts_connections)
        harness.hosts = lambda: [endpoint_entry("h0", old_backend.port)]  # type: ignore[method-assign]
        async with launched_with_descriptor_limit(harness, tmp_path, limit) as port:
            hung_peers = [await connect_when_listening(port) for _ in range(budget.backend_connections - 1)]
            await open_hanging_requests(hung_peers, old_backend)
            counter_connections = harness.counter.accepted_count
            async with idle_clients(port, 2 * budget.client_connections) as clients:
                # More connections were closed than there are clients, so the clients' share is exhausted.
                await wait_until(lambda: clients.closed_connection_count > 2 * budget.client_connections)
                await request_until_served(port, counted_request(b"cached", 1_000))

                harness.counter.close_connections()
                discovery.snapshot = endpoint_list(42, endpoint_entry("h1", new_backend.port))
                await discovery.recover()
                await wait_until(lambda: discovery.watches)
                requests = [counted_request(b"listed%d" % number, 2_000 + number) for number in range(8)]
                await request_until_served(port, *requests)

                assert len(new_backend.received) == 8
                customers_counted = budget.backend_connections + 8
                await wait_until(
                    lambda: len({command[1] for command in harness.counter.received}) >= customers_counted
                )
                assert harness.counter.accepted_count > counter_connections
                assert "Too many open files" not in (tmp_path / "log").read_text()
            for peer in hung_peers:
                peer.close()

    run_in_loop(scenario, 50)
