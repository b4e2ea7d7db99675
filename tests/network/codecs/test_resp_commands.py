"""Tests of which input of clients is accepted as a command, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.event_loop import runs_in_loop
from tests.support.fake_services import FakeBackend
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.replies import is_error
from tests.support.request_commands import request_command
from tests.support.resp_peer import encode_command


@runs_in_loop
async def test_a_command_may_come_byte_by_byte() -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()

        for byte in encode_command(*request_command(b"one")):
            peer.writer.write(bytes([byte]))
            await peer.writer.drain()
            await asyncio.sleep(0)

        assert await peer.receive() == b"value"


@runs_in_loop
async def test_many_commands_may_come_together() -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()
        numbers = [b"%d" % number for number in range(100)]
        pings = b"".join(encode_command(b"PING", number) for number in numbers)

        peer.writer.write(pings + encode_command(*request_command(b"two")))

        assert [await peer.receive() for _ in range(101)] == [*numbers, b"value"]


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 50,
        b"\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*1000\r\n",
        b"*+1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65537\r\n",
        b"*2\r\n$60000\r\n" + b"x" * 60_000 + b"\r\n$60000\r\n",
        b"*1\r\n$62914560\r\n",
        b"*1\r\n$3\r\nPINGS",
        b"*1\r\n:3\r\n",
        b"*1\r\n*1\r\n",
        b"$" + b"1" * 50,
    ],
)
@runs_in_loop
async def test_input_that_cannot_become_a_command_is_rejected_at_once(data: bytes) -> None:
    """The error must not wait for a line end that may never come, or for an argument of 60 MB."""
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()

        peer.writer.write(data)

        assert is_error(await peer.receive())
        assert await peer.receive() is None


@pytest.mark.parametrize("data", [b"*5\r\n$999999\r\n" + b"x" * 200_000, b"*4294967294\r\n$1\r\na\r\n"])
@runs_in_loop
async def test_a_command_beyond_all_bounds_ends_only_its_own_connection(data: bytes) -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        rejected_client = await harness.client()
        other_client = await harness.client()

        rejected_client.writer.write(data)

        assert is_error(await rejected_client.receive())
        assert await rejected_client.receive() is None
        assert await harness.request(other_client) == b"value"


@runs_in_loop
async def test_many_small_commands_in_one_read_are_all_answered() -> None:
    """The stack would overflow if each batch of pending commands were processed in a nested call."""
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()
        command_count = 60_000

        peer.writer.write(encode_command(b"") * command_count)

        for _ in range(command_count):
            assert is_error(await peer.receive())
        assert await harness.request(peer) == b"value"
