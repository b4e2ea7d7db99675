"""Runs the gateway as a process of its own, with the servers that it talks to."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO

from tests.support.fake_services import FakeServer, running_servers
from tests.support.gateway_harness import GatewayHarness
from tests.support.resp_peer import LOCAL, RespPeer

ROOT = Path(__file__).parents[2]
GATEWAY_COMMAND = (sys.executable, "-m", "gateway")


def gateway_environment(config: Path) -> dict[str, str]:
    """Return the environment of a gateway process that reads its configuration from `config`."""
    return {**os.environ, "LB_CONFIG": str(config)}


async def start_process(
    config: Path, command: Sequence[str] = GATEWAY_COMMAND, stderr: int | IO[bytes] = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, env=gateway_environment(config), stderr=stderr
    )


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Kill the process unless it has ended by itself, and wait for its end."""
    if process.returncode is None:
        process.kill()
    await process.wait()


async def connect_when_listening(port: int) -> RespPeer:
    """Connect a client; retry while connections are refused because the gateway does not listen yet."""
    while True:
        try:
            return RespPeer(*await asyncio.open_connection(LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


def reserve_port() -> socket.socket:
    """Return a socket that reserves its port until it is closed; meanwhile, a server can listen on the port.

    A free port that is not reserved could be assigned to another process before the server listens.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOCAL, 0))
    return reservation


def port_of(reservation: socket.socket) -> int:
    return int(reservation.getsockname()[1])


@dataclass
class GatewayProcess:
    """A running gateway process, its configuration file and the port that it listens on."""

    process: asyncio.subprocess.Process
    config: Path
    port: int


@asynccontextmanager
async def running_gateway_process(
    harness: GatewayHarness,
    folder: Path,
    *other_servers: FakeServer,
    command: Sequence[str] = GATEWAY_COMMAND,
    stderr: int | IO[bytes] = asyncio.subprocess.PIPE,
) -> AsyncIterator[GatewayProcess]:
    """Run a gateway process, the servers of the harness and the other servers until the end of the block."""
    with reserve_port() as reservation:
        async with running_servers(*harness.servers, *other_servers):
            port = port_of(reservation)
            config = folder / "config.json"
            config.write_text(json.dumps({**harness.config(), "listen": f"{LOCAL}:{port}"}))
            process = await start_process(config, command, stderr)
            try:
                yield GatewayProcess(process, config, port)
            finally:
                await end_process(process)
