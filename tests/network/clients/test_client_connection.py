"""What a client's connection answers, in which order, and how much it holds, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from gateway.network.clients import connection as client_connection
from gateway.network.clients import listener as client_listener
from gateway.network.clients.listener import ClientListener
from tests.support.loopback import Backend, Reply, World, encode, in_loop, request, running, until
from tests.support.replies import is_error, served_reply


class GatedBackend(Backend):
    """A backend that serves each request with its id, and none before the gate opens."""

    def __init__(self) -> None:
        super().__init__(self.serve_id)
        self.gate = asyncio.Event()

    async def serve_id(self, command: list[bytes]) -> Reply:
        await self.gate.wait()
        return served_reply(command[2])


async def never_reply(_command: list[bytes]) -> Reply:
    return None


def test_replies_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        second_served = asyncio.Event()

        async def serve_second_first(command: list[bytes]) -> Reply:
            if command[2] == b"first":
                await second_served.wait()
            else:
                second_served.set()
            return served_reply(command[2])

        async with running(World(Backend(serve_second_first))) as world:
            peer = await world.client()

            peer.send(*request(b"first"))
            peer.send(*request(b"second"))
            peer.send(b"PING")

            assert [await peer.receive() for _ in range(3)] == [b"first", b"second", b"PONG"]

    in_loop(scenario)


def test_set_up_commands_of_client_libraries_are_answered() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()

            for command in (b"CLIENT", b"SELECT", b"QUIT"):
                peer.send(command)
                assert await peer.receive() == b"OK"

            assert await peer.receive() is None

    in_loop(scenario)


def test_a_protocol_error_ends_its_own_connection_only() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            good = await world.client()
            bad = await world.client()

            bad.writer.write(encode(*request(b"early")) + b"?what\r\n" + encode(*request(b"late")))

            assert await bad.receive() == b"value"  # what came before still gets its reply
            assert is_error(await bad.receive())
            assert await bad.receive() is None
            assert await world.ask(good) == b"value"
            assert [command[2] for command in world.backends[0].got] == [b"early", request()[2]]

    in_loop(scenario)


def test_what_follows_a_protocol_error_does_not_pile_up(client_listeners: list[ClientListener]) -> None:
    """The connection stays for its earlier replies, and a client may go on writing to it."""

    async def scenario() -> None:
        backend = GatedBackend()
        async with running(World(backend)) as world:
            (listener,) = client_listeners
            peer = await world.client()
            await until(lambda: listener.connections)
            (connection,) = listener.connections

            peer.writer.write(encode(*request(b"early")) + b"?what\r\n" + b"x" * 10_000_000)
            await until(lambda: backend.got)
            assert connection.is_finishing
            await peer.writer.drain()  # read to its end, which alone would show that the client has left

            assert connection.command_parser.buffered_bytes <= client_listener.RECEIVE_BUFFER_BYTES
            backend.gate.set()
            assert await peer.receive() == b"early"
            assert is_error(await peer.receive())

    in_loop(scenario)


def test_a_disconnect_cancels_the_open_request() -> None:
    async def scenario() -> None:
        backend = Backend(never_reply)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)

            peer.close()

            await until(lambda: backend.ended)
            # The id is free again, so nothing of the request is left.
            backend.script = backend.serve
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_an_id_in_use_is_not_taken_twice() -> None:
    async def scenario() -> None:
        backend = GatedBackend()
        async with running(World(backend)) as world:
            first = await world.client()
            second = await world.client()
            first.send(*request(b"same"))
            await until(lambda: backend.got)

            assert is_error(await world.ask(second, id=b"same"))

            second.close()
            backend.gate.set()
            assert await first.receive() == b"same"

    in_loop(scenario)


def test_too_many_pipelined_commands_wait_unread() -> None:
    async def scenario() -> None:
        backend = GatedBackend()
        async with running(World(backend)) as world:
            peer = await world.client()
            ids = [b"%04d" % number for number in range(client_connection.MAX_PENDING_REPLIES * 2)]

            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: backend.got)
            backend.gate.set()

            replies = [await peer.receive() for _ in ids]
            served = [(id, reply) for id, reply in zip(ids, replies, strict=True) if isinstance(reply, bytes)]
            rejections = [str(reply) for reply in replies if not isinstance(reply, bytes)]
            assert replies[0] == ids[0]
            assert all(reply == id for id, reply in served)
            assert all(text.startswith("BUSY") for text in rejections)

    in_loop(scenario)


def test_a_slow_reader_does_not_grow_memory(client_listeners: list[ClientListener]) -> None:
    """A client that sends commands and never reads is read no further, so that its replies stay few."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            (listener,) = client_listeners
            peer = await world.client()
            await until(lambda: listener.connections)
            (connection,) = listener.connections
            echo = encode(b"PING", b"x" * 65536)
            written = 0

            while connection.is_reading:
                peer.writer.write(echo)
                written += 1
                await asyncio.sleep(0)

            pending_bytes = sum(len(pending.reply or b"") for pending in connection.pending_replies)
            held_bytes = len(connection.send_buffer) + pending_bytes
            assert held_bytes <= client_connection.MAX_UNSENT_BYTES + 2 * 66_000
            for _ in range(written):  # once it reads, it gets all of them
                assert await peer.receive() == b"x" * 65536

    in_loop(scenario)


def test_a_client_that_never_reads_is_closed(
    client_listeners: list[ClientListener], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_connection, "SLOW_READER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            (listener,) = client_listeners
            peer = await world.client()
            peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: listener.connections)

            while listener.connections:  # ended by the test's time limit if it never is
                peer.send(b"PING", b"x" * 65536)
                await asyncio.sleep(0)

    in_loop(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"*",
        b"*3\r\n$8\r\nAPI",
        encode(*request(b"early")) + b"*4\r\n",
        b"*1\r\n$65536\r\n" + b"x" * 60_000,
    ],
)
def test_a_command_incomplete_at_its_deadline_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """Half a command, or nothing at all, would hold a descriptor for ever."""
    monkeypatch.setattr(client_connection, "COMMAND_TIMEOUT_MS", 500.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            idle = await world.client()
            assert await world.ask(idle) == b"value"
            peer = await world.client()

            peer.writer.write(sent)

            if b"early" in sent:
                assert await peer.receive() == b"value"
            assert is_error(await peer.receive())
            assert await peer.receive() is None
            assert await world.ask(idle, id=b"later") == b"value"  # idle between commands is no offence

    in_loop(scenario)
