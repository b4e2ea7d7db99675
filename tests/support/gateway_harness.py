"""A complete gateway on loopback sockets, with fakes of the services that it uses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from gateway.network.process.configuration import parse_config
from gateway.network.process.server import GatewayServer
from gateway.network.process.shutdown_schedule import ShutdownSchedule
from tests.support.event_loop import wait_until
from tests.support.fake_services import (
    FakeBackend,
    FakeCounter,
    FakeDiscovery,
    FakeServer,
    endpoint_entry,
    running_servers,
)
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL, RespPeer

QUICK_SHUTDOWN = ShutdownSchedule(keep_serving_s=0.01, fail_requests_s=3.4)
"""A shutdown that soon stops serving: in tests, clients need no time to move to another gateway."""

SETTINGS: dict[str, Any] = {
    "az": "a",
    "groupSize": 1,
    "selfIndex": 0,
    "caps": {
        "maxAttempts": 3,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfter": 500.0,
        "connectTimeout": 250.0,
        "keepalive": 15000.0,
        "maxOpen": 1000,
    },
    "classes": [
        {"name": "view", "aim": 1500.0, "deadline": 4000.0, "effect": "pure", "importance": 1.0},
        {"name": "keyed", "aim": 1500.0, "deadline": 4000.0, "effect": "token", "repeatWindow": 4000.0},
        {"name": "wipe", "aim": 1500.0, "deadline": 4000.0, "effect": "side_effect", "importance": 1.0},
    ],
    "packages": [
        {"name": "free"},
        {"name": "basic", "rate": 1.0, "mostAtOnce": 2.0, "overrunCost": 1.0},
    ],
    "familyInfo": {"mayCount": True, "countWait": 80.0, "unitsTop": 1},
    "rules": {"warmWithin": 10000.0, "startCapacity": 0.2, "drainGrace": 1000.0, "fallMultiple": 2.0},
}


class GatewayHarness:
    """A gateway and the fakes that it uses; `backends` are named h0, h1, ... in the endpoint list.

    `limits` replace or add entries of "limits" in the configuration.
    """

    def __init__(self, *backends: FakeBackend, counter: FakeCounter | None = None, **limits: Any) -> None:
        self.backends = backends
        self.counter = counter or FakeCounter()
        self.discovery = FakeDiscovery()
        self.limits = limits
        self.settings = SETTINGS
        self.peers: list[RespPeer] = []
        self.port = 0
        self.stop = asyncio.Event()

    @property
    def servers(self) -> list[FakeServer]:
        return [*self.backends, self.counter, self.discovery]

    def hosts(self) -> list[dict[str, Any]]:
        return [endpoint_entry(f"h{number}", backend.port) for number, backend in enumerate(self.backends)]

    def config(self) -> dict[str, Any]:
        """Return the configuration; call it once the servers have started, as it contains their ports."""
        if not self.discovery.snapshot["hosts"]:
            self.discovery.snapshot["hosts"] = self.hosts()
        return {
            "name": "n0",
            "listen": f"{LOCAL}:0",
            "discovery": f"{LOCAL}:{self.discovery.port}",
            "counter": f"{LOCAL}:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "known": {"seq": 41, "whole": True, "hosts": self.hosts()},
            "settings": self.settings,
        }

    async def client(self) -> RespPeer:
        """Connect a client to the gateway; `running_gateway` closes the connection."""
        peer = RespPeer(*await asyncio.open_connection(LOCAL, self.port))
        self.peers.append(peer)
        return peer

    async def request(self, peer: RespPeer, **attributes: Any) -> Any:
        """Send a request and return its reply; `attributes` are the arguments of `request_command`."""
        peer.send(*request_command(**attributes))
        return await peer.receive()


async def wait_until_ready(gateway: asyncio.Task[None], ready: asyncio.Future[int]) -> int:
    """Return the port of a gateway once it has started; if the start fails, raise its exception."""
    waited_for: set[asyncio.Future[Any]] = {gateway, ready}
    await asyncio.wait(waited_for, return_when=asyncio.FIRST_COMPLETED)
    if gateway.done():
        gateway.result()
    return ready.result()


@asynccontextmanager
async def running_gateway(
    harness: GatewayHarness, shutdown_schedule: ShutdownSchedule = QUICK_SHUTDOWN
) -> AsyncIterator[GatewayHarness]:
    """Run a gateway that serves and watches the endpoint list; it shuts down at the end of the block."""
    async with running_servers(*harness.servers):
        ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        gateway = GatewayServer(parse_config(harness.config()), shutdown_schedule=shutdown_schedule)
        task = asyncio.create_task(gateway.run(harness.stop, ready.set_result))
        harness.port = await wait_until_ready(task, ready)
        try:
            await wait_until(lambda: harness.discovery.watches)
            yield harness
        finally:
            for peer in harness.peers:
                peer.close()
            harness.stop.set()
            await task
