"""Ways in which a client's connection ends, on real sockets, each while something is owed to the client."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys

import pytest

from gateway.network.clients import listener as client_listener
from gateway.network.clients.command_reader import MAX_READ_AHEAD_BYTES, RECEIVE_BUFFER_BYTES
from gateway.network.clients.reply_queue import MAX_PENDING_REPLIES
from gateway.network.codecs.resp_commands import COMPACTION_THRESHOLD_BYTES
from tests.support.clients import as_peer, connect, connect_at_once, running_listener
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.manual_server import reset
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL, encode_command


@pytest.mark.parametrize("behind", [b"", b"?what\r\n", encode_command(b"QUIT")])
def test_disconnect_behind_pipelined_requests_is_detected(behind: bytes) -> None:
    """Its end comes behind more requests than one connection may have waiting, or behind what ended it."""

    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            peer = await connect(port)
            count = MAX_PENDING_REPLIES * (1 if behind else 3)
            ids = [b"%04d" % number for number in range(count)]
            peer.writer.write(b"".join(encode_command(*request_command(id)) for id in ids) + behind)
            await wait_until(lambda: len(handler.pending) == MAX_PENDING_REPLIES)

            peer.close()
            await wait_until(lambda: not listener.connections)

            assert sorted(handler.disconnected) == sorted(handler.pending)
            for reply in list(handler.pending.values()):  # what was read ahead is not processed any more
                reply.complete(b"+late\r\n")
            assert len(handler.pending) == MAX_PENDING_REPLIES

    run_in_loop(scenario)


def send_backlog_and_close(port: int, size: int) -> None:
    """Write as many requests as the system takes, and close."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * size)
    client.connect((LOCAL, port))
    client.setblocking(False)
    commands = b"".join(encode_command(*request_command(b"%06d" % number)) for number in range(size // 100))
    data = memoryview(commands[:size])
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[client.send(data) :]
    client.close()


def test_disconnect_behind_a_large_backlog_is_detected() -> None:
    """Unread, it is still with the client's system: no look at the socket here could tell of it."""

    async def scenario() -> None:
        async with running_listener(memory=16 * 2**20) as (listener, handler, port):
            send_backlog_and_close(port, 4 * MAX_READ_AHEAD_BYTES)
            async with asyncio.timeout(5):
                await wait_until(lambda: handler.pending and not listener.connections)

            assert sorted(handler.disconnected) == sorted(handler.pending)
            assert len(handler.pending) == MAX_PENDING_REPLIES
            assert listener.memory.read_ahead_bytes == 0

    run_in_loop(scenario)


@pytest.mark.parametrize("memory", [0, 1_000_000])
def test_read_ahead_of_one_connection_is_bounded(memory: int) -> None:
    """By what one connection may hold, and beyond that by what all of them may together."""

    async def scenario() -> None:
        async with running_listener(memory=memory) as (listener, handler, port):
            peer = await connect(port)
            ids = [b"%05d" % number for number in range(10_000)]

            peer.writer.write(b"".join(encode_command(*request_command(id)) for id in ids))
            await wait_until(lambda: handler.pending and not next(iter(listener.connections)).is_reading)

            (connection,) = listener.connections
            limit = max(MAX_READ_AHEAD_BYTES, listener.memory.max_read_ahead_bytes)
            assert connection.reader.buffered_bytes == listener.memory.read_ahead_bytes
            assert limit < listener.memory.read_ahead_bytes <= limit + RECEIVE_BUFFER_BYTES
            for id in ids:  # and all of it is answered once there is capacity
                await wait_until(lambda id=id: id.decode() in handler.pending)  # type: ignore[misc]
                handler.pending[id.decode()].complete(encode_command(id))
            assert [await peer.receive() for _ in ids] == [[id] for id in ids]
            assert listener.memory.read_ahead_bytes == 0

    run_in_loop(scenario)


@pytest.mark.parametrize("detected_by", ["a sweep", "a request"])
def test_disconnect_behind_unreadable_input_is_detected(
    detected_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has come as far as this machine, where all that may be read ahead is taken up."""
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 20.0 if detected_by == "a sweep" else 1e9)

    async def scenario() -> None:
        async with running_listener(memory=0) as (listener, handler, port):
            leaving = await connect(port)
            staying = await connect(port)
            flood = b"".join(encode_command(*request_command(b"g%04d" % number)) for number in range(1_700))
            readable = MAX_READ_AHEAD_BYTES + RECEIVE_BUFFER_BYTES
            assert len(flood) > readable + MAX_PENDING_REPLIES * 110
            leaving.writer.write(flood)
            staying.writer.write(flood.replace(b"g0", b"s0").replace(b"g1", b"s1"))
            await wait_until(lambda: len(listener.connections) == 2)
            await wait_until(lambda: not any(connection.is_reading for connection in listener.connections))
            replies = list(handler.pending.values())

            leaving.close()

            def is_detected() -> bool:
                if detected_by == "a request":
                    for reply in replies:
                        reply.detect_disconnect()
                return len(listener.connections) == 1

            async with asyncio.timeout(5):
                await wait_until(is_detected)
            expected = [f"g{number:04}" for number in range(MAX_PENDING_REPLIES)]
            assert sorted(handler.disconnected) == expected
            for _ in range(20):
                assert is_detected()  # the other one stays, whose requests lie as deep
                await asyncio.sleep(0.002)

    run_in_loop(scenario)


def test_read_ahead_memory_is_freed_once_processed() -> None:
    """Otherwise one connection after another would keep as much as all together may read ahead."""

    async def scenario() -> None:
        async with running_listener(memory=16 * 2**20) as (listener, handler, port):
            peer = await connect(port)
            count = 10_000
            peer.writer.write(
                b"".join(encode_command(*request_command(b"%05d" % number)) for number in range(count))
            )
            await wait_until(lambda: listener.memory.read_ahead_bytes > 7 * MAX_READ_AHEAD_BYTES)

            handler.immediate_reply = b"-BUSY\r\n"
            (connection,) = listener.connections
            for reply in list(handler.pending.values()):
                reply.complete(b"-BUSY\r\n")
            await wait_until(lambda: len(handler.pending) == count and listener.memory.read_ahead_bytes == 0)

            kept = sys.getsizeof(connection.reader._parser._buffer)
            assert kept < 2 * (COMPACTION_THRESHOLD_BYTES + RECEIVE_BUFFER_BYTES)

    run_in_loop(scenario)


def test_read_ahead_of_all_connections_is_bounded() -> None:
    """Each may go on with its own part; one that has more goes on once others have left capacity."""

    async def scenario() -> None:
        limit = MAX_READ_AHEAD_BYTES
        async with running_listener(memory=8 * limit) as (listener, _handler, port):
            flood = b"".join(encode_command(*request_command(b"%05d" % number)) for number in range(10_000))
            first = await connect(port)
            second = await connect(port)

            first.writer.write(flood)
            await wait_until(lambda: listener.connections and not next(iter(listener.connections)).is_reading)
            second.writer.write(flood)
            await wait_until(lambda: len(listener.connections) == 2)
            one, other = listener.connections
            await wait_until(lambda: not one.is_reading and not other.is_reading)

            assert one.reader.buffered_bytes + other.reader.buffered_bytes == listener.memory.read_ahead_bytes
            assert (
                listener.memory.max_read_ahead_bytes
                < listener.memory.read_ahead_bytes
                <= listener.memory.max_read_ahead_bytes + limit + 65536
            )
            assert limit < other.reader.buffered_bytes <= limit + RECEIVE_BUFFER_BYTES
            one.close()
            await wait_until(lambda: other.reader.buffered_bytes > listener.memory.max_read_ahead_bytes)
            other.close()
            assert listener.memory.read_ahead_bytes == 0

    run_in_loop(scenario)


@pytest.mark.parametrize("end", ["close", "reset", "end of sending"])
def test_client_counts_as_disconnected_however_its_connection_ends(end: str) -> None:
    """Also with replies to come; the protocol knows no other way to cancel a request."""

    async def scenario() -> None:
        async with running_listener() as (listener, handler, port):
            commands = request_command(b"waits"), (b"CANCEL", b"waits"), request_command(b"too")
            client = connect_at_once(port, b"".join(encode_command(*command) for command in commands))
            await wait_until(lambda: len(handler.pending) == 2)
            assert not handler.disconnected  # no command ends a request

            if end == "end of sending":
                client.shutdown(socket.SHUT_WR)
            elif end == "reset":
                reset(client)
            else:
                client.close()
            await wait_until(lambda: not listener.connections)

            assert handler.disconnected == ["waits", "too"]
            if end == "end of sending":
                assert await (await as_peer(client)).receive() is None

    run_in_loop(scenario)
