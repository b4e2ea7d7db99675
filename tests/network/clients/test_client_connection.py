"""Tests of a client's connection over loopback sockets: its replies, their order and its memory limits."""

from __future__ import annotations

import asyncio

import pytest

from gateway.network.clients import command_reader, reply_queue
from gateway.network.clients import listener as client_listener
from gateway.network.clients.listener import ClientListener
from tests.support.event_loop import runs_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply, always
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.replies import is_error, served_reply
from tests.support.request_commands import pipelined_requests, request_command
from tests.support.resp_peer import encode_command

BULK_ARGUMENT = b"x" * 65536
"""A large argument of `PING`, which the reply repeats."""


class PausedBackend(FakeBackend):
    """A backend that replies to each request with the request's id, once `resumed` is set."""

    def __init__(self) -> None:
        super().__init__(self.serve_id)
        self.resumed = asyncio.Event()

    async def serve_id(self, command: list[bytes]) -> ScriptedReply:
        await self.resumed.wait()
        return served_reply(command[2])


@runs_in_loop
async def test_replies_come_in_the_order_of_the_commands() -> None:
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


@runs_in_loop
async def test_set_up_commands_of_client_libraries_are_answered() -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()

        for command in (b"CLIENT", b"SELECT", b"QUIT"):
            peer.send(command)
            assert await peer.receive() == b"OK"

        assert await peer.receive() is None


@runs_in_loop
async def test_a_protocol_error_ends_its_own_connection_only() -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        rejected_client = await harness.client()
        other_client = await harness.client()

        rejected_client.writer.write(
            encode_command(*request_command(b"early"))
            + b"?what\r\n"
            + encode_command(*request_command(b"late"))
        )

        # The request before the error still gets its reply.
        assert await rejected_client.receive() == b"value"
        assert is_error(await rejected_client.receive())
        assert await rejected_client.receive() is None
        assert await harness.request(other_client, id=b"other") == b"value"
        assert [command[2] for command in harness.backends[0].received] == [b"early", b"other"]


@runs_in_loop
async def test_input_after_a_protocol_error_is_not_buffered(client_listeners: list[ClientListener]) -> None:
    """The connection stays open for earlier replies, so a client that keeps writing could fill the memory."""
    backend = PausedBackend()
    async with running_gateway(GatewayHarness(backend)) as harness:
        (listener,) = client_listeners
        peer = await harness.client()
        await wait_until(lambda: listener.connections)
        (connection,) = listener.connections

        peer.writer.write(encode_command(*request_command(b"early")) + b"?what\r\n" + b"x" * 10_000_000)
        await wait_until(lambda: backend.received)
        assert connection.reader.is_discarding_input
        await peer.writer.drain()  # the gateway reads all input, in order to detect a disconnect

        assert connection.reader.buffered_bytes <= command_reader.RECEIVE_BUFFER_BYTES
        backend.resumed.set()
        assert await peer.receive() == b"early"
        assert is_error(await peer.receive())


@runs_in_loop
async def test_a_disconnect_cancels_the_open_request() -> None:
    backend = FakeBackend(always(None))
    async with running_gateway(GatewayHarness(backend)) as harness:
        peer = await harness.client()
        peer.send(*request_command())
        await wait_until(lambda: backend.received)

        peer.close()

        await wait_until(lambda: backend.closed_by_gateway_count)
        # The id can be used again, because the request is no longer open.
        backend.script = backend.serve
        assert await harness.request(await harness.client()) == b"value"


@runs_in_loop
async def test_an_id_in_use_is_not_taken_twice() -> None:
    backend = PausedBackend()
    async with running_gateway(GatewayHarness(backend)) as harness:
        first = await harness.client()
        second = await harness.client()
        first.send(*request_command(b"same"))
        await wait_until(lambda: backend.received)

        rejection = await harness.request(second, id=b"same")
        second.close()
        backend.resumed.set()

        assert is_error(rejection)
        assert await first.receive() == b"same"


@runs_in_loop
async def test_too_many_pipelined_commands_wait_unread() -> None:
    backend = PausedBackend()
    async with running_gateway(GatewayHarness(backend)) as harness:
        peer = await harness.client()
        ids = [b"%04d" % number for number in range(reply_queue.MAX_PENDING_REPLIES * 2)]

        peer.writer.write(pipelined_requests(ids))
        await wait_until(lambda: backend.received)
        backend.resumed.set()

        replies = [await peer.receive() for _ in ids]
        served = [(id, reply) for id, reply in zip(ids, replies, strict=True) if isinstance(reply, bytes)]
        rejections = [str(reply) for reply in replies if not isinstance(reply, bytes)]
        assert replies[0] == ids[0]
        assert all(reply == id for id, reply in served)
        assert all(text.startswith("BUSY") for text in rejections)


@runs_in_loop
async def test_a_slow_reader_does_not_grow_memory(client_listeners: list[ClientListener]) -> None:
    """The gateway must stop reading from a client that does not read its replies, or they fill the memory."""
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        (listener,) = client_listeners
        peer = await harness.client()
        await wait_until(lambda: listener.connections)
        (connection,) = listener.connections
        sent_commands = 0

        while connection.is_reading:
            peer.send(b"PING", BULK_ARGUMENT)
            sent_commands += 1
            await asyncio.sleep(0)

        pending_bytes = sum(len(pending.reply or b"") for pending in connection.replies.pending)
        buffered_bytes = len(connection.replies.unsent) + pending_bytes
        assert buffered_bytes <= reply_queue.MAX_UNSENT_BYTES + 2 * 66_000
        for _ in range(sent_commands):  # once the client reads, it receives all replies
            assert await peer.receive() == BULK_ARGUMENT


@runs_in_loop
async def test_a_client_that_never_reads_is_closed(
    client_listeners: list[ClientListener], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reply_queue, "SLOW_READER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        (listener,) = client_listeners
        peer = await harness.client()
        peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: listener.connections)

        while listener.connections:  # if the client is not closed, the test ends at its time limit
            peer.send(b"PING", BULK_ARGUMENT)
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("complete", "incomplete"),
    [
        (b"", b""),
        (b"", b"*"),
        (b"", b"*3\r\n$8\r\nAPI"),
        (encode_command(*request_command(b"early")), b"*4\r\n"),
        (b"", b"*1\r\n$65536\r\n" + b"x" * 60_000),
    ],
)
@runs_in_loop
async def test_a_command_incomplete_at_its_deadline_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch, complete: bytes, incomplete: bytes
) -> None:
    """A client that sends only a part of a command, or nothing, would use a file descriptor forever."""
    monkeypatch.setattr(command_reader, "COMMAND_TIMEOUT_MS", 500.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        idle = await harness.client()
        assert await harness.request(idle) == b"value"
        peer = await harness.client()

        peer.writer.write(complete + incomplete)

        if complete:
            assert await peer.receive() == b"value"
        assert is_error(await peer.receive())
        assert await peer.receive() is None
        assert await harness.request(idle, id=b"later") == b"value"  # a client may be idle between commands
