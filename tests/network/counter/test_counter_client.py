"""The counter's client, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gateway.network.counter import client as counter_client
from gateway.network.counter import connection as counter_connection
from gateway.network.counter.client import CounterClient
from gateway.network.counter.protocol import CounterResult, parse_response
from gateway.network.timers import TimerQueue
from gateway.policy.events import Outcome
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeCounter, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.request_commands import request_command
from tests.support.resp_peer import LOCAL

Response = tuple[str, Outcome, float]


class Calls:
    """Makes calls with one client and keeps their responses."""

    def __init__(self, client: CounterClient) -> None:
        self.client = client
        self.responses: list[Response] = []

    def add(self, name: str = "n", amount: float = 1.0) -> None:
        self.client.increment(name, amount, 4000.0, lambda *response: self.responses.append(response))

    async def answered(self, count: int) -> list[Response]:
        """Wait for so many responses, and return all that have come."""
        await wait_until(lambda: len(self.responses) >= count)
        return self.responses


@asynccontextmanager
async def calling(server: FakeCounter, call_timeout_ms: float = 2_000.0) -> AsyncIterator[Calls]:
    loop = asyncio.get_running_loop()
    await server.start()
    client = CounterClient(loop, TimerQueue(loop), server.address, call_timeout_ms)
    try:
        yield Calls(client)
    finally:
        client.close()
        await server.stop()


def test_calls_get_their_totals_in_order() -> None:
    async def scenario() -> None:
        server = FakeCounter()
        async with calling(server) as calls:
            for amount in (1.0, 2.5, -0.5):
                calls.add(amount=amount)

            assert await calls.answered(3) == [("n", Outcome.OK, total) for total in (1.0, 3.5, 3.0)]
            assert server.received[1] == [b"tally", b"n", b"2.500000", b"4000"]
            assert server.accepted == 1

    run_in_loop(scenario)


def test_late_response_belongs_to_its_own_call() -> None:
    """Given to the next call, it would be the total of another moment, or of another name."""

    async def scenario() -> None:
        resumed = asyncio.Event()

        async def answer_first_late(words: list[bytes]) -> ScriptedReply:
            if words[2] == b"1.000000":
                await resumed.wait()
                return b"ok 111\r\n"
            return b"ok 222\r\n"

        async with calling(FakeCounter(answer_first_late), call_timeout_ms=300.0) as calls:
            calls.add(amount=1.0)
            assert await calls.answered(1) == [("n", Outcome.TIMED_OUT, 0.0)]

            calls.add(amount=2.0)
            await asyncio.sleep(0)
            resumed.set()

            assert (await calls.answered(2))[1:] == [("n", Outcome.OK, 222.0)]

    run_in_loop(scenario)


def test_rejected_call_added_nothing() -> None:
    async def scenario() -> None:
        async def reject(_words: list[bytes]) -> ScriptedReply:
            return b"busy\r\n"

        async with calling(FakeCounter(reject)) as calls:
            calls.add()

            assert await calls.answered(1) == [("n", Outcome.QUEUE_FULL, 0.0)]

    run_in_loop(scenario)


def test_refused_connection_added_nothing_and_is_retried() -> None:
    async def scenario() -> None:
        server = FakeCounter()
        async with calling(server) as calls:
            server.server.close()
            calls.add()
            assert await calls.answered(1) == [("n", Outcome.CONNECT_ERROR, 0.0)]

            await server.start()
            for channel in calls.client.channels:
                channel.address = server.address
            calls.add()

            assert (await calls.answered(2))[1:] == [("n", Outcome.OK, 1.0)]

    run_in_loop(scenario)


def test_connection_lost_after_the_call_may_have_added() -> None:
    async def scenario() -> None:
        async def close_connections(_words: list[bytes]) -> ScriptedReply:
            return b""

        async with calling(FakeCounter(close_connections)) as calls:
            calls.add()

            assert await calls.answered(1) == [("n", Outcome.TIMED_OUT, 0.0)]

    run_in_loop(scenario)


def test_silent_connection_with_unanswered_calls_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """After the counter's machine vanished, its connections stay open and say nothing for ever."""
    monkeypatch.setattr(counter_connection, "SILENCE_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        is_silent = True

        async def script(_words: list[bytes]) -> ScriptedReply:
            return None if is_silent else b"ok 5\r\n"

        server = FakeCounter(script)
        async with calling(server, call_timeout_ms=100.0) as calls:
            calls.add()
            await calls.answered(1)

            is_silent = False
            calls.add()

            assert (await calls.answered(2))[1:] == [("n", Outcome.OK, 5.0)]
            assert server.accepted == 2

    run_in_loop(scenario)


@pytest.mark.parametrize(
    ("line", "result"),
    [
        (b"ok 12.5", CounterResult(Outcome.OK, 12.5)),
        (b"busy", CounterResult(Outcome.QUEUE_FULL, 0.0)),
        (b"error", CounterResult(Outcome.QUEUE_FULL, 0.0)),
        (b"ok -0.5\r", CounterResult(Outcome.OK, -0.5)),
        (b"ok 1.5e+07", CounterResult(Outcome.OK, 1.5e7)),
        *((line, None) for line in (b"ok", b"ok x", b"what", b"", b"ok nan", b"ok inf", b"ok 1_0", b"ok  1")),
    ],
)
def test_parse_response(line: bytes, result: CounterResult | None) -> None:
    assert parse_response(line) == result


def test_malformed_response_ends_its_connection() -> None:
    """Its amount was added; what follows there may be anything, and is no later call's response."""

    async def scenario() -> None:
        async def script(words: list[bytes]) -> ScriptedReply:
            return b"ok \r\nok 999\r\n" if words[1] == b"malformed" else b"ok 7\r\n"

        server = FakeCounter(script)
        async with calling(server) as calls:
            calls.client.channels[1:] = [calls.client.channels[0]] * 3
            calls.add("malformed")
            calls.add("behind")
            expected = [(name, Outcome.TIMED_OUT, 0.0) for name in ("malformed", "behind")]
            assert await calls.answered(2) == expected

            calls.add("next")

            assert (await calls.answered(3))[2:] == [("next", Outcome.OK, 7.0)]
            assert server.accepted == 2

    run_in_loop(scenario)


def test_log_names_the_counter_and_what_closed_its_connection(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(counter_client, "SUMMARY_INTERVAL_MS", 5.0)

    async def scenario() -> None:
        async def script(_words: list[bytes]) -> ScriptedReply:
            return b"what\r\n"

        server = FakeCounter(script)
        async with calling(server) as calls:
            calls.add()
            await wait_until(lambda: caplog.records)

            (record,) = caplog.records
            assert record.getMessage() == (
                f"connections to the counter at {LOCAL}:{server.port} closed (malformed response: 1); "
                "their unanswered calls count as timed out"
            )

    run_in_loop(scenario)


def test_new_address_takes_new_calls_and_the_old_one_still_answers() -> None:
    async def scenario() -> None:
        resumed = asyncio.Event()

        async def answer_late(_words: list[bytes]) -> ScriptedReply:
            await resumed.wait()
            return b"ok 111\r\n"

        async def answer_at_once(_words: list[bytes]) -> ScriptedReply:
            return b"ok 222\r\n"

        old = FakeCounter(answer_late)
        new = FakeCounter(answer_at_once)
        await new.start()
        async with calling(old) as calls:
            calls.add("n")
            await wait_until(lambda: old.received)

            calls.client.move_to(new.address)
            calls.add("other")
            assert await calls.answered(1) == [("other", Outcome.OK, 222.0)]
            calls.add("n")
            await wait_until(lambda: len(new.received) == 2)
            assert len(calls.responses) == 1  # reported now, it would be taken for the older call's
            resumed.set()

            assert (await calls.answered(3))[1:] == [("n", Outcome.OK, 111.0), ("n", Outcome.OK, 222.0)]
            assert not calls.client.unreported_calls
            old.close_connections()
            await wait_until(lambda: not any(channel.draining for channel in calls.client.channels))
        await new.stop()

    run_in_loop(scenario)


def test_quota_is_enforced_with_the_counter() -> None:
    async def scenario() -> None:
        async with running_gateway(GatewayHarness(*(FakeBackend() for _ in range(4)))) as harness:
            peer = await harness.client()

            replies = [await harness.request(peer, id=b"%d" % number, plan=b"basic") for number in range(8)]

            served = [reply for reply in replies if reply == b"value"]
            rejected = [str(reply) for reply in replies if reply != b"value"]
            assert 1 <= len(served) <= 4
            assert all(reply.startswith("BUSY ") for reply in rejected)
            assert harness.counter.received

    run_in_loop(scenario)


def test_silent_counter_does_not_delay_requests_for_long() -> None:
    async def stay_silent(_words: list[bytes]) -> ScriptedReply:
        return None

    async def scenario() -> None:
        async with running_gateway(
            GatewayHarness(FakeBackend(), counter=FakeCounter(stay_silent))
        ) as harness:
            peer = await harness.client()

            peer.send(*request_command(plan=b"basic"))

            assert await peer.receive() == b"value"

    run_in_loop(scenario)
