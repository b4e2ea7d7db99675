"""The life cycle of a whole gateway within the tests' own process."""

from __future__ import annotations

import pytest

from gateway.network.discovery.watch import EndpointWatcher
from gateway.network.process.configuration import parse_config
from gateway.network.process.server import GatewayServer
from gateway.network.process.shutdown_schedule import ShutdownSchedule
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply, running_servers
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.request_commands import request_command


def test_requests_open_at_the_end_of_shutdown_are_failed_rather_than_lost() -> None:
    """SIGKILL would leave the client without a reply; the request may have run, so it is not rejected."""
    schedule = ShutdownSchedule(keep_serving_s=0.05, fail_requests_s=0.1)

    async def silent(_command: list[bytes]) -> ScriptedReply:
        return None

    async def scenario() -> None:
        backend = FakeBackend(silent)
        async with running_gateway(GatewayHarness(backend), schedule) as harness:
            peer = await harness.client()
            peer.send(*request_command())
            await wait_until(lambda: backend.received)

            harness.stop.set()

            assert str(await peer.receive()) == "ERR failed"
            assert await peer.receive() is None

    run_in_loop(scenario)


def test_open_connections_are_served_while_draining() -> None:
    """This gateway's place is empty until it is back."""
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
    """A visible crash is better than a list that grows outdated unseen."""

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
