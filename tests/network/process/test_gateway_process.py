"""The gateway as a process: signals, error output and exit status."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
from pathlib import Path

import pytest

from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply
from tests.support.gateway_harness import GatewayHarness
from tests.support.gateway_process import (
    GATEWAY_COMMAND,
    ROOT,
    connect_when_listening,
    gateway_environment,
    running_gateway_process,
)
from tests.support.invalid_configurations import INVALID_CONFIGURATIONS
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL


class ReleasableScript:
    """A backend script that holds all replies back until `released` is set."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def __call__(self, _command: list[bytes]) -> ScriptedReply:
        await self.released.wait()
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def run_to_end(env: dict[str, str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(GATEWAY_COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)


def test_sigterm_completes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = ReleasableScript()
        backend = FakeBackend(script)
        async with running_gateway_process(GatewayHarness(backend), tmp_path) as gateway:
            peer = await connect_when_listening(gateway.port)
            idle = await connect_when_listening(gateway.port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            # A request that is not idempotent stays in flight until its deadline.
            peer.send(*request_command(request_class=b"wipe"))
            await wait_until(lambda: backend.received)

            gateway.process.send_signal(signal.SIGTERM)

            # Clients still open connections for a while after SIGTERM.
            late = await connect_when_listening(gateway.port)
            late.send(b"PING")
            assert await late.receive() == b"PONG"
            assert gateway.process.returncode is None
            script.released.set()
            assert await peer.receive() == b"value"
            assert await idle.receive() is None  # the idle connection is closed
            assert await peer.receive() is None
            assert await gateway.process.wait() == 0

    run_in_loop(scenario)


def test_sighup_takes_up_new_addresses_and_leaves_open_requests_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = ReleasableScript()
        old_backend = FakeBackend(script)
        new_backend = FakeBackend()
        old_harness = GatewayHarness(old_backend)
        new_harness = GatewayHarness(new_backend)
        new_servers = [new_backend, new_harness.counter, new_harness.discovery]
        async with running_gateway_process(old_harness, tmp_path, *new_servers) as gateway:
            new_harness.discovery.snapshot = {"seq": 3, "whole": True, "hosts": new_harness.hosts()}
            first = await connect_when_listening(gateway.port)
            second = await connect_when_listening(gateway.port)
            # A request that is not idempotent stays in flight until its deadline.
            first.send(*request_command(request_class=b"wipe", plan=b"basic"))
            await wait_until(lambda: old_backend.received)

            gateway.config.write_text("not a configuration")
            gateway.process.send_signal(signal.SIGHUP)

            second.send(b"PING")
            assert await second.receive() == b"PONG"
            assert gateway.process.returncode is None

            gateway.config.write_text(json.dumps({**new_harness.config(), "listen": f"{LOCAL}:1"}))
            gateway.process.send_signal(signal.SIGHUP)

            await wait_until(lambda: new_harness.discovery.watches)
            second.send(*request_command(b"second", request_class=b"wipe"))
            assert await second.receive() == b"value"
            assert len(new_backend.received) == 1
            # A reload does not change the listening address.
            third = await connect_when_listening(gateway.port)
            third.send(*request_command(b"third", plan=b"basic", customer=b"00000000b4d65522"))
            assert await third.receive() == b"value"
            await wait_until(lambda: new_harness.counter.received)
            script.released.set()
            assert await first.receive() == b"value"

            gateway.process.send_signal(signal.SIGTERM)

            assert await gateway.process.wait() == 0

    run_in_loop(scenario)


@pytest.mark.parametrize("text", INVALID_CONFIGURATIONS.values(), ids=INVALID_CONFIGURATIONS.keys())
def test_invalid_configuration_is_reported_in_one_line_with_status_2(tmp_path: Path, text: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(text, errors="surrogateescape")

    result = run_to_end(gateway_environment(config))

    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert result.stderr.startswith(f"gateway: bad configuration: {config}: ")


def test_missing_configuration_path_is_reported_in_one_line_with_status_2() -> None:
    env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}

    result = run_to_end(env)

    assert result.returncode == 2
    assert result.stderr == "gateway: LB_CONFIG is not set\n"
