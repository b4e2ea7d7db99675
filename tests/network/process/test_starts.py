"""Simultaneous starts of many gateways, also after SIGKILL, for each state of discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.support.event_loop import run_in_loop
from tests.support.fake_services import FakeDiscovery, endpoint_entry
from tests.support.gateway_harness import GatewayHarness
from tests.support.gateway_process import end_process, port_of, reserve_port, start_process
from tests.support.resp_peer import LOCAL, RespPeer

PROCESS_COUNT = 20
READY_SHARE = 0.9
"""Fraction of the processes that must be ready within `READY_TIMEOUT_S`."""
READY_TIMEOUT_S = 10.0
"""Time within which `READY_SHARE` of the processes must be ready, in seconds."""
LAST_READY_TIMEOUT_S = 30.0
"""Time within which all processes must be ready, in seconds."""


class Readiness(NamedTuple):
    """The time until a process gave its first reply, in seconds, and the client that got it.

    The time is infinite and the client None if there was no reply.
    """

    elapsed_s: float
    peer: RespPeer | None


class UnresponsiveDiscovery(FakeDiscovery):
    """Discovery that accepts connections and never responds."""

    async def handle_connection(self, reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await reader.read()


@contextlib.asynccontextmanager
async def running_discovery(service: FakeDiscovery) -> AsyncIterator[int]:
    service.snapshot["hosts"] = listed_hosts()
    await service.start()
    try:
        yield service.port
    finally:
        await service.stop()


@contextlib.contextmanager
def closed_port() -> Iterator[int]:
    """Reserve a port that refuses connections; it is bound, but nothing listens there."""
    with socket.socket() as bound:
        bound.bind((LOCAL, 0))
        yield bound.getsockname()[1]


@contextlib.contextmanager
def unreachable_port() -> Iterator[int]:
    """Yield a port whose accept queue is full, so that connection attempts time out."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((LOCAL, 0))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


@contextlib.asynccontextmanager
async def discovery_port(state: str) -> AsyncIterator[int]:
    """Yield the port of a discovery service in this state."""
    async with contextlib.AsyncExitStack() as stack:
        match state:
            case "up":
                yield await stack.enter_async_context(running_discovery(FakeDiscovery()))
            case "unresponsive":
                yield await stack.enter_async_context(running_discovery(UnresponsiveDiscovery()))
            case "connection refused":
                yield stack.enter_context(closed_port())
            case "unreachable":
                yield stack.enter_context(unreachable_port())


def listed_hosts() -> list[dict[str, Any]]:
    return [endpoint_entry(f"h{number}", 1) for number in range(200)]


async def wait_for_first_reply(port: int, started_at: float) -> Readiness:
    """Connect until a client gets a reply, and leave that client connected."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LAST_READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(ConnectionError):
                    peer = RespPeer(*await asyncio.open_connection(LOCAL, port))
                    peer.send(b"PING")
                    if await peer.receive() == b"PONG":
                        return Readiness(time.monotonic() - started_at, peer)
                await asyncio.sleep(0.02)
    return Readiness(math.inf, None)


async def measure_readiness(configs: dict[int, Path]) -> list[float]:
    """Start all processes at once, kill them once all are ready, and return the sorted times to readiness."""
    processes: list[asyncio.subprocess.Process] = []
    try:
        wait_tasks = []
        for port, config in configs.items():
            with config.with_suffix(".log").open("ab") as log:
                processes.append(await start_process(config, stderr=log))
            wait_tasks.append(asyncio.create_task(wait_for_first_reply(port, time.monotonic())))
        readiness = await asyncio.gather(*wait_tasks)
    finally:
        for process in processes:
            await end_process(process)
    for _, peer in readiness:
        if peer is not None:
            peer.close()
    return sorted(elapsed_s for elapsed_s, _ in readiness)


def write_configs(folder: Path, ports: list[int], discovery: int) -> dict[int, Path]:
    """Write a configuration for each process; return the files by the port that the process listens on."""
    configs = {port: folder / f"{port}.json" for port in ports}
    cached = {"seq": 41, "whole": True, "hosts": listed_hosts()}
    for port, path in configs.items():
        addresses = {"listen": f"{LOCAL}:{port}", "discovery": f"{LOCAL}:{discovery}"}
        path.write_text(json.dumps({**GatewayHarness().config(), **addresses, "known": cached}))
    return configs


@pytest.fixture
def ports() -> Iterator[list[int]]:
    """Reserve a port for each process to listen on."""
    with contextlib.ExitStack() as stack:
        yield [port_of(stack.enter_context(reserve_port())) for _ in range(PROCESS_COUNT)]


def last_log_lines(configs: dict[int, Path]) -> str:
    """Return the last line of each log that contains an error."""
    logs = [path.with_suffix(".log").read_text() for path in configs.values()]
    return "\n".join(log.splitlines()[-1] for log in logs if "Error" in log)


@pytest.mark.timeout(150)
@pytest.mark.parametrize("state", ["up", "connection refused", "unresponsive", "unreachable"])
def test_nine_in_ten_gateways_that_start_at_once_are_ready_in_time(
    state: str, ports: list[int], tmp_path: Path
) -> None:
    """After the first start, SIGKILL ends the processes while clients are connected, and all restart."""

    async def scenario() -> None:
        async with discovery_port(state) as discovery:
            configs = write_configs(tmp_path, ports, discovery)
            for phase in ("first start", "restart"):
                times_s = await measure_readiness(configs)

                p90_s = times_s[math.ceil(READY_SHARE * PROCESS_COUNT) - 1]
                slowest_s = times_s[-1]
                line = f"discovery {state}, {phase}: nine in ten {p90_s:.2f} s, slowest {slowest_s:.2f} s"
                print(line)
                assert p90_s < READY_TIMEOUT_S, line
                assert slowest_s < LAST_READY_TIMEOUT_S, f"{line}\n{last_log_lines(configs)}"

    run_in_loop(scenario, 140)
