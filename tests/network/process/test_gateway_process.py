"""The program as a process: signals and exit status."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
from pathlib import Path

import pytest

from tests.support.gateway_process import COMMAND, ROOT, connect, environment, launched
from tests.support.invalid_configurations import INVALID_CONFIGURATIONS
from tests.support.loopback import LOCAL, Backend, Reply, World, in_loop, request, until


class HeldScript:
    """A backend's script that replies to nothing until it is released."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def __call__(self, _command: list[bytes]) -> Reply:
        await self.released.wait()
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def run_to_end(env: dict[str, str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)


def test_sigterm_completes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = HeldScript()
        backend = Backend(script)
        async with launched(World(backend), tmp_path) as gateway:
            peer = await connect(gateway.port)
            idle = await connect(gateway.port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            peer.send(*request(name=b"wipe"))  # not idempotent, so waited for to its deadline
            await until(lambda: backend.got)

            gateway.process.send_signal(signal.SIGTERM)

            late = await connect(gateway.port)  # clients have not noticed yet
            late.send(b"PING")
            assert await late.receive() == b"PONG"
            assert gateway.process.returncode is None
            script.released.set()
            assert await peer.receive() == b"value"
            assert await idle.receive() is None  # closed between requests
            assert await peer.receive() is None
            assert await gateway.process.wait() == 0

    in_loop(scenario)


def test_sighup_takes_up_new_addresses_and_leaves_open_requests_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = HeldScript()
        old_backend = Backend(script)
        new_backend = Backend()
        old_world = World(old_backend)
        new_world = World(new_backend)
        new_servers = [new_backend, new_world.counter, new_world.discovery]
        async with launched(old_world, tmp_path, *new_servers) as gateway:
            new_world.discovery.whole = {"seq": 3, "whole": True, "hosts": new_world.hosts()}
            first = await connect(gateway.port)
            second = await connect(gateway.port)
            first.send(*request(name=b"wipe", plan=b"basic"))  # not idempotent, so waited for to its deadline
            await until(lambda: old_backend.got)

            gateway.config.write_text("not a configuration")
            gateway.process.send_signal(signal.SIGHUP)

            second.send(b"PING")
            assert await second.receive() == b"PONG"
            assert gateway.process.returncode is None

            gateway.config.write_text(json.dumps({**new_world.config(), "listen": f"{LOCAL}:1"}))
            gateway.process.send_signal(signal.SIGHUP)

            await until(lambda: new_world.discovery.watches)
            second.send(*request(b"second", name=b"wipe"))
            assert await second.receive() == b"value"
            assert len(new_backend.got) == 1
            third = await connect(gateway.port)  # it still listens where it did
            third.send(*request(b"third", plan=b"basic", customer=b"00000000b4d65522"))
            assert await third.receive() == b"value"
            await until(lambda: new_world.counter.got)
            script.released.set()
            assert await first.receive() == b"value"

            gateway.process.send_signal(signal.SIGTERM)

            assert await gateway.process.wait() == 0

    in_loop(scenario)


@pytest.mark.parametrize("text", INVALID_CONFIGURATIONS.values(), ids=INVALID_CONFIGURATIONS.keys())
def test_invalid_configuration_is_reported_in_one_line_with_status_2(tmp_path: Path, text: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(text, errors="surrogateescape")

    result = run_to_end(environment(config))

    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert result.stderr.startswith(f"gateway: bad configuration: {config}: ")


def test_missing_configuration_path_is_reported_in_one_line_with_status_2() -> None:
    env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}

    result = run_to_end(env)

    assert result.returncode == 2
    assert result.stderr == "gateway: LB_CONFIG is not set\n"
