"""What a client's connection answers, in which order, and how much it holds, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from gateway.network.clients import command_reader, reply_queue
from gateway.network.clients import listener as client_listener
from gateway.network.clients.listener import ClientListener
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.replies import is_error, served_reply
from tests.support.request_commands import request_command
from tests.support.resp_peer import encode_command


class GatedBackend(FakeBackend):
    """A backend that serves each request with its id, and none before the gate opens."""

    def __init__(self) -> None:
        super().__init__(self.serve_id)
        self.gate = asyncio.Event()

    async def serve_id(self, command: list[bytes]) -> ScriptedReply:
        await self.gate.wait()
        return served_reply(command[2])


async def never_reply(_command: list[bytes]) -> ScriptedReply:
    return None


def test_replies_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        second_served = asyncio.Event()

        async def serve_second_first(command: list[bytes]) -> ScriptedReply:
            if command[2] == b"first":
                await second_served.wait()
            else:
                second_served.set()
            return served_reply(command[2])

        async with running_gateway(GatewayHarness(FakeBackend(serve_second_first))) as harness:
            peer = await harness.client()

            peer.send(*request_command(b"first"))
            peer.send(*request_command(b"second"))
            peer.send(b"PING")

            assert [await peer.receive() for _ in range(3)] == [b"first", b"second", b"PONG"]

    run_in_loop(scenario)


def test_set_up_commands_of_client_libraries_are_answered() -> None:
    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            peer = await harness.client()

            for command in (b"CLIENT", b"SELECT", b"QUIT"):
                peer.send(command)
                assert await peer.receive() == b"OK"

            assert await peer.receive() is None

    run_in_loop(scenario)


def test_a_protocol_error_ends_its_own_connection_only() -> None:
    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            good = await harness.client()
            bad = await harness.client()

            bad.writer.write(
                encode_command(*request_command(b"early"))
                + b"?what\r\n"
                + encode_command(*request_command(b"late"))
            )

            assert await bad.receive() == b"value"  # what came before still gets its reply
            assert is_error(await bad.receive())
            assert await bad.receive() is None
            assert await harness.request(good) == b"value"
            assert [command[2] for command in harness.backends[0].received] == [
                b"early",
                request_command()[2],
            ]

    run_in_loop(scenario)


def test_what_follows_a_protocol_error_does_not_pile_up(client_listeners: list[ClientListener]) -> None:
    """The connection stays for its earlier replies, and a client may go on writing to it."""

    async def scenario() -> None:
        backend = GatedBackend()
        async with running_gateway(GatewayHarness(backend)) as harness:
            (listener,) = client_listeners
            peer = await harness.client()
            await wait_until(lambda: listener.connections)
            (connection,) = listener.connections

            peer.writer.write(encode_command(*request_command(b"early")) + b"?what\r\n" + b"x" * 10_000_000)
            await wait_until(lambda: backend.received)
            assert connection.reader.is_discarding
            await peer.writer.drain()  # read to its end, which alone would show that the client has left

            assert connection.reader.buffered_bytes <= command_reader.RECEIVE_BUFFER_BYTES
            backend.gate.set()
            assert await peer.receive() == b"early"
            assert is_error(await peer.receive())

    run_in_loop(scenario)


def test_a_disconnect_cancels_the_open_request() -> None:
    async def scenario() -> None:
        backend = FakeBackend(never_reply)
        async with running_gateway(GatewayHarness(backend)) as harness:
            peer = await harness.client()
            peer.send(*request_command())
            await wait_until(lambda: backend.received)

            peer.close()

            await wait_until(lambda: backend.ended)
            # The id is free again, so nothing of the request is left.
            backend.script = backend.serve
            assert await harness.request(await harness.client()) == b"value"

    run_in_loop(scenario)


def test_an_id_in_use_is_not_taken_twice() -> None:
    async def scenario() -> None:
        backend = GatedBackend()
        async with running_gateway(GatewayHarness(backend)) as harness:
            first = await harness.client()
            second = await harness.client()
            first.send(*request_command(b"same"))
            await wait_until(lambda: backend.received)

            assert is_error(await harness.request(second, id=b"same"))

            second.close()
            backend.gate.set()
            assert await first.receive() == b"same"

    run_in_loop(scenario)


def test_too_many_pipelined_commands_wait_unread() -> None:
    async def scenario() -> None:
        backend = GatedBackend()
        async with running_gateway(GatewayHarness(backend)) as harness:
            peer = await harness.client()
            ids = [b"%04d" % number for number in range(reply_queue.MAX_PENDING_REPLIES * 2)]

            peer.writer.write(b"".join(encode_command(*request_command(id)) for id in ids))
            await wait_until(lambda: backend.received)
            backend.gate.set()

            replies = [await peer.receive() for _ in ids]
            served = [(id, reply) for id, reply in zip(ids, replies, strict=True) if isinstance(reply, bytes)]
            rejections = [str(reply) for reply in replies if not isinstance(reply, bytes)]
            assert replies[0] == ids[0]
            assert all(reply == id for id, reply in served)
            assert all(text.startswith("BUSY") for text in rejections)

    run_in_loop(scenario)


def test_a_slow_reader_does_not_grow_memory(client_listeners: list[ClientListener]) -> None:
    """A client that sends commands and never reads is read no further, so that its replies stay few."""

    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            (listener,) = client_listeners
            peer = await harness.client()
            await wait_until(lambda: listener.connections)
            (connection,) = listener.connections
            echo = encode_command(b"PING", b"x" * 65536)
            written = 0

            while connection.is_reading:
                peer.writer.write(echo)
                written += 1
                await asyncio.sleep(0)

            pending_bytes = sum(len(pending.reply or b"") for pending in connection.replies.pending)
            held_bytes = len(connection.replies.unsent) + pending_bytes
            assert held_bytes <= reply_queue.MAX_UNSENT_BYTES + 2 * 66_000
            for _ in range(written):  # once it reads, it gets all of them
                assert await peer.receive() == b"x" * 65536

    run_in_loop(scenario)


def test_a_client_that_never_reads_is_closed(
    client_listeners: list[ClientListener], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reply_queue, "SLOW_READER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            (listener,) = client_listeners
            peer = await harness.client()
            peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await wait_until(lambda: listener.connections)

            while listener.connections:  # ended by the test's time limit if it never is
                peer.send(b"PING", b"x" * 65536)
                await asyncio.sleep(0)

    run_in_loop(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"*",
        b"*3\r\n$8\r\nAPI",
        encode_command(*request_command(b"early")) + b"*4\r\n",
        b"*1\r\n$65536\r\n" + b"x" * 60_000,
    ],
)
def test_a_command_incomplete_at_its_deadline_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """Half a command, or nothing at all, would hold a descriptor for ever."""
    monkeypatch.setattr(command_reader, "COMMAND_TIMEOUT_MS", 500.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            idle = await harness.client()
            assert await harness.request(idle) == b"value"
            peer = await harness.client()

            peer.writer.write(sent)

            if b"early" in sent:
                assert await peer.receive() == b"value"
            assert is_error(await peer.receive())
            assert await peer.receive() is None
            assert await harness.request(idle, id=b"later") == b"value"  # idle between commands is no offence

    run_in_loop(scenario)
