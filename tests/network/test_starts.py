"""Many programs that start at once, and again after an outright end, whatever state discovery is in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.network.test_process import ROOT
from tests.support.loopback import LOCAL, Discovery, Peer, World, host, in_loop

PROCESSES = 20
READY_S, SHARE = 10.0, 0.9  # nine in ten restarted processes are ready within 10 s
GIVEN_UP_S = 30.0  # the bench waits no longer


class Silent(Discovery):
    """Calls are taken and never answered."""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()


@contextlib.asynccontextmanager
async def discovery(state: str) -> AsyncIterator[int]:
    """The port of a discovery in this state."""
    with contextlib.ExitStack() as stack:
        if state in ("up", "silent"):
            service = Discovery() if state == "up" else Silent()
            service.whole["hosts"] = [host(f"h{number}", 1) for number in range(200)]
            await service.start()
            yield service.port
            await service.stop()
            return
        taken = stack.enter_context(socket.socket())
        taken.bind((LOCAL, 0))  # nobody listens there, and nobody else is given the port
        if state == "unreachable":
            taken.listen(0)
            for _ in range(3):  # its queue is full: nothing comes back
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(taken.getsockname())
        yield taken.getsockname()[1]


async def ready(port: int, since: float) -> tuple[float, Peer | None]:
    """How long it took from then on until a client had its first answer; the client stays."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GIVEN_UP_S):
            while True:
                with contextlib.suppress(ConnectionError):
                    peer = Peer(*await asyncio.open_connection(LOCAL, port))
                    peer.send(b"PING")
                    if await peer.receive() == b"PONG":
                        return time.monotonic() - since, peer
                await asyncio.sleep(0.02)
    return math.inf, None


async def start_all(configs: dict[int, Path]) -> list[float]:
    """Start all at once, and end them outright once all are ready: the times they took."""
    processes: list[asyncio.subprocess.Process] = []
    try:
        waits = []
        for port, config in configs.items():
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gateway",
                cwd=ROOT,
                env={**os.environ, "LB_CONFIG": str(config)},
                stderr=asyncio.subprocess.DEVNULL,
            )
            processes.append(process)
            waits.append(asyncio.create_task(ready(port, time.monotonic())))
        got = await asyncio.gather(*waits)
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
    for _, peer in got:
        if peer is not None:
            peer.close()
    return sorted(took for took, _ in got)


@pytest.mark.timeout(150)
@pytest.mark.parametrize("state", ["up", "refuses", "silent", "unreachable"])
def test_nine_in_ten_of_many_that_start_at_once_are_ready_in_time(state: str, tmp_path: Path) -> None:
    """The second start comes after an outright end, with clients connected."""

    async def scenario() -> None:
        world = World()
        known = [host(f"h{number}", 1) for number in range(200)]
        async with discovery(state) as where:
            with contextlib.ExitStack() as stack:
                free = [stack.enter_context(socket.create_server((LOCAL, 0))) for _ in range(PROCESSES)]
                configs = {each.getsockname()[1]: tmp_path / f"{n}.json" for n, each in enumerate(free)}
            for port, path in configs.items():
                told = {"listen": f"{LOCAL}:{port}", "discovery": f"{LOCAL}:{where}"}
                listed = {"seq": 41, "whole": True, "hosts": known}
                path.write_text(json.dumps({**world.config(), **told, "known": listed}))
            for turn in ("first start", "restart"):
                times = await start_all(configs)
                within = times[math.ceil(SHARE * PROCESSES) - 1]
                line = f"discovery {state}, {turn}: nine in ten {within:.2f} s, the slowest {times[-1]:.2f} s"
                print(line)
                assert within < READY_S and times[-1] < GIVEN_UP_S, line

    in_loop(scenario, 140)
