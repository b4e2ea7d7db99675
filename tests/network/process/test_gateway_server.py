"""The life cycle of a gateway that runs in the test process."""

from __future__ import annotations

import logging
import re

import pytest

from gateway.network.discovery.watch import EndpointWatcher
from gateway.network.process.configuration import parse_config
from gateway.network.process.server import GatewayServer
from gateway.network.process.shutdown_schedule import ShutdownSchedule
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply, running_servers
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.request_commands import request_command


async def never_reply(_command: list[bytes]) -> ScriptedReply:
    """Leave the request in flight; a script for a fake backend."""
    return None


def test_requests_open_at_the_end_of_shutdown_are_failed_rather_than_lost() -> None:
    """SIGKILL would drop these requests. One that may have run gets a failure, not a rejection."""
    schedule = ShutdownSchedule(keep_serving_s=0.05, fail_requests_s=0.1)

    async def scenario() -> None:
        backend = FakeBackend(never_reply)
        async with running_gateway(GatewayHarness(backend), schedule) as harness:
            peer = await harness.client()
            peer.send(*request_command())
            await wait_until(lambda: backend.received)

            harness.stop.set()

            assert str(await peer.receive()) == "ERR failed"
            assert await peer.receive() is None

    run_in_loop(scenario)


def test_shutdown_is_logged_with_open_and_failed_requests(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="gateway")
    schedule = ShutdownSchedule(keep_serving_s=0.05, fail_requests_s=0.1)

    async def scenario() -> None:
        backend = FakeBackend(never_reply)
        async with running_gateway(GatewayHarness(backend), schedule) as harness:
            peers = [await harness.client() for _ in range(2)]
            for number, peer in enumerate(peers):
                peer.send(*request_command(b"%d" % number))
            await wait_until(lambda: len(backend.received) == 2)

            harness.stop.set()
            for peer in peers:
                assert str(await peer.receive()) == "ERR failed"

    run_in_loop(scenario)
    expected = [
        r"n0 serves at 127\.0\.0\.1:\d+",
        r"gateway n0 draining: 2 requests open; serving for 0\.05 s more, "
        r"requests still open after 0\.10 s will fail",
        r"gateway n0: 2 requests still open at the end of the shutdown; each gets a failure reply",
        r"gateway n0 drained after \d+\.\d\d s: 2 requests failed at the end of the shutdown",
    ]
    messages = [record.getMessage() for record in caplog.records if record.name == "gateway"]
    assert len(messages) == len(expected)
    for message, pattern in zip(messages, expected, strict=True):
        assert re.fullmatch(pattern, message)


def test_open_connections_are_served_while_draining() -> None:
    """A draining gateway keeps serving, because the fleet lacks its capacity until it has restarted."""
    schedule = ShutdownSchedule(keep_serving_s=0.3, fail_requests_s=0.6)

    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend()), schedule) as harness:
            peer = await harness.client()

            harness.stop.set()

            served = 0
            while await harness.request(peer, id=b"%d" % served) == b"value":
                served += 1
            assert served > 1

    run_in_loop(scenario)


def test_failed_watch_of_the_endpoint_list_ends_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """A visible crash is better than serving with an outdated endpoint list."""

    async def fail(_watcher: EndpointWatcher) -> None:
        raise RuntimeError("a fault of the watch")

    monkeypatch.setattr(EndpointWatcher, "run", fail)

    async def scenario() -> None:
        harness = GatewayHarness(FakeBackend())
        async with running_servers(*harness.servers):
            gateway = GatewayServer(parse_config(harness.config()))

            with pytest.raises(RuntimeError, match="a fault of the watch"):
                await gateway.run(harness.stop)

    run_in_loop(scenario)
