"""Requests whose clients disconnect while something is awaited: nothing is forwarded for nobody.

The crossings are forced on real sockets: a scripted peer holds, splits or resets what it sends.
"""

from __future__ import annotations

import asyncio
import functools
import math
import socket
import time
from enum import Enum

import pytest

from gateway.network.counter.client import CounterClient
from gateway.network.dispatcher import Dispatcher
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.actions import Action, IncrementCounter, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.backend_harness import wait_for_reuse_delay
from tests.support.clients import call_between_reads, connect, connect_at_once, running_dispatcher
from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, FakeCounter, ScriptedReply
from tests.support.gateway_harness import SETTINGS, GatewayHarness, running_gateway
from tests.support.manual_server import ManualServer, full_accept_queue
from tests.support.request_commands import request_command
from tests.support.resp_peer import RespPeer, encode_command
from tests.support.stub_policy import StubPolicy

FIRST_BACKEND = 7
SECOND_BACKEND = 8
STALL_S = 0.12  # more than the 0.1 s in which an attempt may still begin for a client that has disconnected
REQUEST_WAIT_MS = 8_000  # hundreds are opened one by one, on a busy machine for seconds, before the crossing


def test_request_abandoned_during_a_counter_call_is_not_forwarded() -> None:
    async def scenario() -> None:
        answered = asyncio.Event()

        async def answer_late(_call: list[bytes]) -> ScriptedReply:
            await answered.wait()
            return b"ok 1\r\n"

        harness = GatewayHarness(FakeBackend(), counter=FakeCounter(answer_late))
        info = {**SETTINGS["familyInfo"], "countWait": 5_000.0}
        harness.settings = {**SETTINGS, "groupSize": 9, "familyInfo": info}
        async with running_gateway(harness):
            leaving = await harness.client()
            other = await harness.client()
            leaving.send(*request_command(b"waits", plan=b"basic", gateway_set_size=9))
            await wait_until(lambda: harness.counter.received)

            leaving.close()
            other_customer = b"00000000b4d65522"  # that does not wait for the same response
            assert await harness.request(other, id=b"1", customer=other_customer) == b"value"
            answered.set()
            for number in (b"2", b"3"):
                assert await harness.request(other, id=number, customer=other_customer) == b"value"

            assert [command[2] for command in harness.backends[0].received] == [b"1", b"2", b"3"]

    run_in_loop(scenario)


def test_request_abandoned_during_a_connect_is_not_forwarded() -> None:
    async def scenario() -> None:
        with full_accept_queue() as (listener, _):
            listener.setblocking(False)
            async with running_dispatcher() as (dispatcher, policy, clients, port):
                dispatcher.backends.update(FIRST_BACKEND, listener.getsockname(), EndpointState.READY)
                policy.actions_by_event[RequestArrived] = [StartAttempt("waits", FIRST_BACKEND)]
                leaving = connect_at_once(port, encode_command(*request_command(b"waits")))
                await wait_until(lambda: dispatcher.attempts)

                leaving.close()
                await wait_until(lambda: not clients.connections)

                assert not dispatcher.backends.connections
                assert not dispatcher.attempts
                assert not dispatcher.open_requests
                kinds = [type(event) for event in policy.events]
                assert kinds == [RequestArrived, ClientDisconnected, AttemptEnded]

    run_in_loop(scenario)


def test_request_of_a_disconnected_client_is_not_retried() -> None:
    async def scenario() -> None:
        break_off = asyncio.Event()

        async def script(command: list[bytes]) -> ScriptedReply:
            if command[2] == b"waits":
                await break_off.wait()
                return b""
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        first = FakeBackend(script)
        second = FakeBackend(script)
        async with running_gateway(GatewayHarness(first, second)) as harness:
            leaving = await harness.client()
            other = await harness.client()
            leaving.send(*request_command(b"waits"))
            await wait_until(lambda: first.received or second.received)

            leaving.close()
            assert await harness.request(other, id=b"1") == b"value"
            break_off.set()
            for number in (b"2", b"3"):
                assert await harness.request(other, id=number) == b"value"

            assert [command[2] for command in first.received + second.received].count(b"waits") == 1

    run_in_loop(scenario)


class Trigger(Enum):
    """What makes the policy start an attempt for a request that waits."""

    ATTEMPT_ENDED = "a failed attempt"
    TIMER = "a timer"
    COUNTER_RESPONSE = "the counter's response"
    REQUEST = "the request"


class HoldingPolicy(StubPolicy):
    """Holds all requests back until the trigger, then sends each to the second backend."""

    def __init__(self, trigger: Trigger) -> None:
        super().__init__()
        self.trigger = trigger
        self.waiting: list[str] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        super().handle(now, event)
        match event:
            case RequestArrived(request_id) if request_id in ("before", "after"):
                return [StartAttempt(request_id, SECOND_BACKEND)]
            case RequestArrived(request_id):
                return [self.hold(request_id)]
            case TimerFired(TimerToken(_, request_id)) | AttemptEnded(request_id, request_finished=False):
                return [StartAttempt(request_id, SECOND_BACKEND)]
            case CounterResponse():
                waiting = self.waiting
                self.waiting = []
                return [StartAttempt(request_id, SECOND_BACKEND) for request_id in waiting]
        return []

    def hold(self, request_id: str) -> Action:
        self.waiting.append(request_id)
        match self.trigger:
            case Trigger.ATTEMPT_ENDED | Trigger.TIMER:
                return StartAttempt(request_id, FIRST_BACKEND)
            case Trigger.COUNTER_RESPONSE:
                return IncrementCounter("all", 1.0, 1_000.0)
            case Trigger.REQUEST:
                return StartAttempt(request_id, SECOND_BACKEND)


class Crossing:
    """Clients that disconnect in the turn of the event loop in which the trigger comes for their requests."""

    def __init__(self, trigger: Trigger, count: int) -> None:
        self.trigger = trigger
        self.ids = [b"%d" % number for number in range(count)]
        self.clients: list[socket.socket] = []
        self.held: list[
            socket.socket
        ] = []  # connections on which backends or the counter hold responses back
        self.backend = ManualServer()
        self.counter_server = ManualServer()
        loop = asyncio.get_running_loop()
        self.counter = CounterClient(loop, TimerQueue(loop), self.counter_server.address, 60_000.0)

    async def send_requests(self, dispatcher: Dispatcher, port: int) -> None:
        """Open the clients' requests, so that each waits for the trigger."""
        if self.trigger is Trigger.REQUEST:
            return
        for id in self.ids:
            self.clients.append(
                connect_at_once(port, encode_command(*request_command(id, remaining_ms=REQUEST_WAIT_MS)))
            )
            await wait_until(lambda: len(dispatcher.open_requests) == len(self.clients))
            if self.trigger is not Trigger.COUNTER_RESPONSE:
                self.held.append(await self.backend.accept_after(1))
        if self.trigger is Trigger.COUNTER_RESPONSE:
            self.held.append(await self.counter_server.accept())
            self.held[0].setblocking(True)
            await wait_until(self.all_counter_calls_are_written)

    def all_counter_calls_are_written(self) -> bool:
        if len(self.counter.unreported_calls["all"]) != len(self.ids):
            return False
        return not any(
            channel.is_flush_scheduled or channel.unwritten or channel.connecting
            for channel in self.counter.channels
        )

    def cross(self, dispatcher: Dispatcher, port: int) -> None:
        """Cause the trigger and the disconnects, while the event loop is stalled."""
        match self.trigger:
            case Trigger.REQUEST:
                self.clients.extend(
                    connect_at_once(port, encode_command(*request_command(id))) for id in self.ids
                )
            case Trigger.ATTEMPT_ENDED:
                for connection in self.held:
                    connection.sendall(b"-ERR failed\r\n")
            case Trigger.COUNTER_RESPONSE:
                self.held[0].sendall(b"ok 1\r\n")
            case Trigger.TIMER:
                for id in self.ids:
                    event = TimerFired(TimerToken(TimerKind.REQUEST, id.decode()))
                    dispatcher.timers.call_at(now_ms(), functools.partial(dispatcher.deliver, event))
        for client in self.clients:
            client.close()
        time.sleep(STALL_S)

    def close(self) -> None:
        for connection in self.held:
            connection.close()
        self.counter.close()
        self.backend.close()
        self.counter_server.close()


async def exchange(peer: RespPeer, id: bytes) -> object:
    peer.send(*request_command(id))
    return await peer.receive()


@pytest.mark.parametrize("count", [1, 300])
@pytest.mark.parametrize("trigger", Trigger)
def test_no_attempt_starts_for_a_client_whose_disconnect_is_unread(
    trigger: Trigger, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Stalled, the event loop finds both in one turn, and what triggers the attempt first.

    A timer or a response brings the first attempt or a hedged request, a failed attempt the next one.
    """
    monkeypatch.setattr("gateway.network.counter.connection.INACTIVITY_TIMEOUT_MS", math.inf)

    async def scenario() -> None:
        crossing = Crossing(trigger, count)
        second = FakeBackend()
        await second.start()
        policy = HoldingPolicy(trigger)
        async with running_dispatcher(policy, crossing.counter, 2 * count + 10) as (dispatcher, _, _, port):
            dispatcher.backends.update(FIRST_BACKEND, crossing.backend.address, EndpointState.READY)
            dispatcher.backends.update(SECOND_BACKEND, second.address, EndpointState.READY)
            other = await connect(port)
            # This leaves a connection on which an attempt is written at once.
            assert await exchange(other, b"before") == b"value"
            await wait_for_reuse_delay(dispatcher.backends)
            await crossing.send_requests(dispatcher, port)

            await call_between_reads(functools.partial(crossing.cross, dispatcher, port))
            await wait_until(lambda: len(policy.events_of(ClientDisconnected)) == count)

            assert await exchange(other, b"after") == b"value"
            assert [command[2] for command in second.received] == [b"before", b"after"]
            assert not dispatcher.open_requests
            assert not dispatcher.attempts
            assert not dispatcher.disconnected_requests
        crossing.close()
        await second.stop()

    run_in_loop(scenario)


def accept_from(listener: socket.socket, client: socket.socket) -> socket.socket:
    """Accept until it is the connection of this client, without a turn of the event loop."""
    client_address = client.getsockname()
    while True:
        connection, peer_address = listener.accept()
        if peer_address == client_address:
            return connection
        connection.close()


def test_connection_established_as_its_client_disconnects_is_not_written_to() -> None:
    """Both are found in one turn, the connection first: it took its time behind a full queue."""

    async def scenario() -> None:
        with full_accept_queue() as (listener, fillers):
            async with running_dispatcher() as (dispatcher, policy, clients, port):
                dispatcher.backends.update(FIRST_BACKEND, listener.getsockname(), EndpointState.READY)
                policy.actions_by_event[RequestArrived] = [StartAttempt("waits", FIRST_BACKEND)]
                leaving = connect_at_once(port, encode_command(*request_command(b"waits")))
                await wait_until(lambda: dispatcher.attempts)
                (connection,) = dispatcher.backends.connections
                assert not connection.is_connected

                for filler in fillers:
                    filler.close()
                listener.settimeout(10.0)
                with accept_from(listener, connection.socket) as accepted:
                    leaving.close()
                    time.sleep(STALL_S)
                    await wait_until(lambda: not clients.connections)

                    assert not dispatcher.backends.connections
                    assert not dispatcher.attempts
                    accepted.settimeout(10.0)
                    assert accepted.recv(1) == b""

    run_in_loop(scenario)
