"""Graceful shutdown on real sockets, with clients that still wait for replies at each step."""

from __future__ import annotations

import pytest

from gateway.network.clients import listener as client_listener
from gateway.network.process.shutdown_schedule import ShutdownSchedule
from tests.support.clients import connect, connect_blocking, peer_from_socket, running_listener
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.request_commands import request_command
from tests.support.resp_peer import encode_command


def test_requests_on_connections_in_the_accept_queue_are_answered() -> None:
    """The kernel has accepted these connections; closing the listener would reset them and lose requests."""

    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            ids = [b"%03d" % number for number in range(2 * client_listener.MAX_ACCEPTS_PER_ITERATION)]
            clients = [connect_blocking(port, encode_command(*request_command(id))) for id in ids]
            assert not listener.connections

            listener.begin_shutdown()
            await wait_until(lambda: len(handler.pending_replies) == len(ids))
            for request_id, reply in handler.pending_replies.items():
                reply.complete(encode_command(request_id.encode()))

            for id, client in zip(ids, clients, strict=True):
                peer = await peer_from_socket(client)
                assert await peer.receive() == [id]
                assert await peer.receive() is None  # the connection is closed
            await listener.all_closed.wait()

    run_in_loop(scenario)


def test_connection_accepted_last_may_still_send_its_request() -> None:
    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            late = connect_blocking(port)
            idle = connect_blocking(port)

            listener.begin_shutdown()
            assert len(listener.connections) == 2
            late.sendall(encode_command(*request_command(b"late")))
            await wait_until(lambda: "late" in handler.pending_replies)
            handler.pending_replies["late"].complete(encode_command(b"yes"))

            assert await (await peer_from_socket(late)).receive() == [b"yes"]
            assert await (await peer_from_socket(idle)).receive() is None

    run_in_loop(scenario)


@pytest.mark.parametrize("first_command", [b"", encode_command(*request_command(b"first"))])
def test_command_incomplete_at_sigterm_may_be_completed(first_command: bytes) -> None:
    """The gateway must not close a connection on which the rest of a request may still arrive."""

    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            command = encode_command(*request_command(b"second"))
            peer = await connect(port)
            peer.writer.write(first_command + command[:-20])
            await wait_until(
                lambda: any(connection.reader.buffered_bytes for connection in listener.connections)
            )

            listener.begin_shutdown()
            if first_command:
                handler.pending_replies["first"].complete(encode_command(b"yes"))
                assert await peer.receive() == [b"yes"]
            peer.writer.write(command[-20:])
            await wait_until(lambda: "second" in handler.pending_replies)
            handler.pending_replies["second"].complete(encode_command(b"too"))

            assert await peer.receive() == [b"too"]
            assert await peer.receive() is None

    run_in_loop(scenario)


def test_request_that_crosses_the_previous_reply_is_accepted() -> None:
    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            client = connect_blocking(port, encode_command(*request_command(b"first")))
            await wait_until(lambda: handler.pending_replies)
            listener.begin_shutdown()

            # The kernel has received this request before the reply to the first one is sent.
            client.sendall(encode_command(*request_command(b"second")))
            handler.pending_replies["first"].complete(encode_command(b"yes"))
            assert "second" in handler.pending_replies
            handler.pending_replies["second"].complete(encode_command(b"too"))

            peer = await peer_from_socket(client)
            assert [await peer.receive() for _ in range(3)] == [[b"yes"], [b"too"], None]

    run_in_loop(scenario)


def test_request_after_the_final_replies_is_rejected_and_not_forwarded() -> None:
    """A backend could no longer reply in time, and a request that never ran may be retried elsewhere."""
    schedule = ShutdownSchedule(keep_serving_s=0.01, fail_requests_s=0.05, close_timeout_s=10.0)

    async def never_reply(_command: list[bytes]) -> ScriptedReply:
        return None

    async def scenario() -> None:
        backend = FakeBackend(never_reply)
        async with running_gateway(GatewayHarness(backend), schedule) as harness:
            hung = await harness.client()
            late = await harness.client()
            hung.send(*request_command(b"hung"))
            data = encode_command(*request_command(b"late"))
            late.writer.write(data[:-3])
            await wait_until(lambda: backend.received)

            harness.stop.set()
            assert str(await hung.receive()) == "ERR failed"
            late.writer.write(data[-3:])

            assert str(await late.receive()) == "BUSY"
            assert await late.receive() is None
            assert len(backend.received) == 1

    run_in_loop(scenario)


def test_input_received_before_the_listener_closes_is_answered() -> None:
    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            handler.immediate_reply = b"-BUSY\r\n"
            client = connect_blocking(port)
            await wait_until(lambda: listener.connections)

            client.sendall(encode_command(*request_command(b"first")))
            listener.close()

            assert str(await (await peer_from_socket(client)).receive()) == "BUSY"

    run_in_loop(scenario)
