"""A small deployment: backends, discovery, the counter and one gateway, on free loopback ports."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from .clients import Front, Request, RequestMaker
from .gateway import Gateway
from .record import CannotRunError, Record
from .servers import Backend, BackendConnection, Counter, Discovery, Serve, encode_answer

BACKENDS = 10
WORK_S = (0.02, 0.09)
"""Shortest and longest time that a backend works on a request."""

LAG_INTERVAL_S = 0.02
MAX_LAG_S = 0.25
"""Seconds by which the stand-ins may be late; a case in which they are later says nothing."""


def sound_backend(seed: int) -> Serve:
    """Return how a sound backend serves: after its work, with a value made for this request."""
    rng = random.Random(seed)

    async def serve(connection: BackendConnection, command: list[bytes]) -> None:
        await asyncio.sleep(rng.uniform(*WORK_S))
        connection.write(encode_answer(value_for(command[2])))

    return serve


def value_for(request_id: bytes) -> bytes:
    """Return the value that every backend makes for a request."""
    return b"value of " + request_id


class Deployment:
    """The servers of a small deployment, and its gateway."""

    def __init__(self, record: Record, serve: Serve, discovery: Discovery | None = None) -> None:
        self.record = record
        self.backends = [Backend(f"s-{number}", record, serve) for number in range(BACKENDS)]
        self.discovery = discovery or Discovery(record)
        self.counter = Counter()
        self._gateway: Gateway | None = None
        self._longest_lag_s = 0.0

    @property
    def gateway(self) -> Gateway:
        """The gateway, once it is started."""
        if self._gateway is None:
            raise CannotRunError("the gateway is not started")
        return self._gateway

    def check(self) -> None:
        """Stop the case if the gateway has ended by itself, or if the stand-ins ran late."""
        if self.gateway.has_ended:
            raise CannotRunError(f"the gateway has ended: {self.gateway.log()}")
        self.record.note(f"the stand-ins were late by {self._longest_lag_s:.3f} s at most")
        if self._longest_lag_s > MAX_LAG_S:
            raise CannotRunError(f"the stand-ins were late by {self._longest_lag_s:.2f} s")

    async def _measure_lag(self) -> None:
        while True:
            due_at = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._longest_lag_s = max(self._longest_lag_s, time.monotonic() - due_at)

    @asynccontextmanager
    async def running(self, *, is_list_known: bool = False, **config: Any) -> AsyncIterator[None]:
        """Run the servers and the gateway until the end of the block."""
        for backend in self.backends:
            await backend.start()
            self.discovery.add(backend.name, backend.port)
        await self.discovery.start()
        await self.counter.start()
        if is_list_known:
            hosts = [dict(entry) for entry in self.discovery.hosts.values()]
            config = {"known": {"seq": self.discovery.seq, "whole": True, "hosts": hosts}, **config}
        self._gateway = Gateway(discovery=self.discovery.port, counter=self.counter.port, **config)
        try:
            await self._gateway.start()
            measuring = asyncio.ensure_future(self._measure_lag())
            yield
            measuring.cancel()
        finally:
            await self._gateway.end()


async def send_steadily(
    front: Front, maker: RequestMaker, *, per_s: float, seconds: float, **request: Any
) -> list[Request]:
    """Send requests at a steady rate, and return them; they may still wait for their answers."""
    rng = random.Random(per_s)
    requests: list[Request] = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(per_s))
        requests.append(maker.make(**request))
        front.send(requests[-1])
    return requests


async def start_bad_clients(
    port: int, clients: int, commands: int, seconds: float
) -> asyncio.subprocess.Process:
    """Start bad clients, which go after `seconds`."""
    program = Path(__file__).with_name("bad_clients.py")
    arguments = [str(port), str(clients), str(commands), str(seconds)]
    return await asyncio.create_subprocess_exec(sys.executable, str(program), *arguments)
