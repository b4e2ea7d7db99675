"""How a gateway bounds the connections of clients, over loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from gateway.network.clients import listener as client_listener
from gateway.network.clients.listener import ClientListener
from gateway.network.process.descriptor_budget import RESERVED_DESCRIPTORS
from tests.support.loopback import Backend, Peer, World, in_loop, running, until


def test_clients_that_leave_many_replies_unread_together_are_closed(
    client_listeners: list[ClientListener],
) -> None:
    async def scenario() -> None:
        async with running(World(Backend(), memory_mb=5)) as world:
            (listener,) = client_listeners
            peers = [await world.client() for _ in range(40)]
            for peer in peers:
                peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: len(listener.connections) == 40)

            while len(listener.connections) > 30:
                for peer in peers:
                    peer.send(b"PING", b"x" * 65536)
                await asyncio.sleep(0)
                assert listener.unsent_bytes <= listener.max_unsent_bytes + 70_000

            late = await world.client()
            assert await world.ask(late) == b"value"
            for peer in peers:
                peer.writer.transport.abort()
        await until(lambda: not listener.connections)
        assert listener.unsent_bytes == 0

    in_loop(scenario)


def test_hundreds_of_clients_without_a_request_do_not_keep_others_out() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=60)) as world:
            active = await world.client()
            assert await world.ask(active) == b"value"

            silent = [await world.client() for _ in range(100)]
            late = await world.client()

            assert await world.ask(late, id=b"late") == b"value"
            # One that sent a request is not evicted for them.
            assert await world.ask(active, id=b"again") == b"value"
            for peer in silent[:50]:
                assert await peer.receive() is None

    in_loop(scenario)


class ExhaustedSocket:
    """A listening socket that finds no descriptor left for its first few accepts."""

    def __init__(self, listening_socket: socket.socket, failures: int) -> None:
        self.listening_socket = listening_socket
        self.failures_left = failures

    def accept(self) -> tuple[socket.socket, object]:
        self.failures_left -= 1
        if self.failures_left >= 0:
            raise OSError(errno.EMFILE, "too many open files")
        return self.listening_socket.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.listening_socket, name)


def test_running_out_of_descriptors_is_survived(client_listeners: list[ClientListener]) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            (listener,) = client_listeners
            assert listener.listening_socket is not None
            exhausted = ExhaustedSocket(listener.listening_socket, failures=3)
            listener.listening_socket = exhausted  # type: ignore[assignment]

            reply = await world.ask(await world.client())

            assert reply == b"value"
            assert exhausted.failures_left < 0

    in_loop(scenario)


def test_at_the_bound_an_unused_connection_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_listener, "EVICTABLE_AFTER_MS", 0.0)

    async def scenario() -> None:
        async with running(World(Backend(), sockets=RESERVED_DESCRIPTORS + 5)) as world:
            peers: list[Peer] = [await world.client() for _ in range(3)]
            for number, peer in enumerate(peers):
                assert await world.ask(peer, id=b"%d" % number) == b"value"

            fourth = await world.client()

            assert await world.ask(fourth) == b"value"
            assert await peers[0].receive() is None
            assert await world.ask(peers[1]) == b"value"

    in_loop(scenario)


def test_rejections_are_logged_with_address_reason_and_consequence(
    client_listeners: list[ClientListener], caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            (listener,) = client_listeners
            peer = await world.client()

            await world.ask(peer, plan=b"unknown")
            await until(lambda: not listener.rejection_counts)

            expected = (
                f"clients of 127.0.0.1:{world.port} rejected, each with an error reply or its connection "
                "closed, by reason: {'unknown plan': 1}"
            )
            assert expected in caplog.messages

    in_loop(scenario)
