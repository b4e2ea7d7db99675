"""The endings that docs/endings.md lists, on real sockets, each at the instant in which something is owed.

The crossings are forced: a scripted peer holds, splits or resets, and the test waits for what follows.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import math
import socket
import struct
import sys
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import pytest

from gateway.__main__ import serve
from gateway.network import client_listener as clients
from gateway.network.backend_pool import BackendPool
from gateway.network.client_listener import ClientListener, ClientRequest, PendingReply, RequestParser
from gateway.network.configuration import parse_config
from gateway.network.counter_client import CounterClient
from gateway.network.dispatcher import Dispatcher
from gateway.network.endpoint_watch import MOST_TRIES, backend_id_of
from gateway.network.resp import MOST_TAKEN
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.actions import Action, IncrementCounter, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    EndpointState,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.settings import Idempotency, Plan, RequestClass
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.backend_harness import RecordedAttempt, open_pool, wait_for_reuse_delay
from tests.support.loopback import (
    LOCAL,
    SETTINGS,
    Backend,
    Counter,
    Discovery,
    Peer,
    Reply,
    Watch,
    World,
    encode,
    host,
    in_loop,
    request,
    running,
    until,
)
from tests.support.policy_harness import Module, settings

VIEW = RequestClass("view", 1500, 4000, idempotency=Idempotency.IDEMPOTENT)
TERMS = RequestParser(settings(gateway_count=1, request_classes=(VIEW,), plans=(Plan("free"),)))


@dataclass
class Holder:
    """Takes every request and answers when a test says; stands in for all that is behind the clients."""

    slots: dict[str, PendingReply] = field(default_factory=dict)
    gone: list[str] = field(default_factory=list)
    reply: bytes = b""  # given to each at once

    def on_request(self, command: ClientRequest, slot: PendingReply) -> None:
        self.slots[command.id] = slot
        if self.reply:
            slot.complete(self.reply)

    def on_client_disconnected(self, request: str) -> None:
        self.gone.append(request)


@contextlib.asynccontextmanager
async def served(
    most: int = 100, memory: int = 1_000_000
) -> AsyncIterator[tuple[ClientListener, Holder, int]]:
    loop, holder = asyncio.get_running_loop(), Holder()
    server = ClientListener(loop, TimerQueue(loop), holder, TERMS, most, memory)
    port = server.listen(LOCAL, 0)
    yield server, holder, port
    server.begin_shutdown()
    for connection in list(server.connections):
        connection.close()


@contextlib.asynccontextmanager
async def joined(
    module: Module | None = None, counter: CounterClient | None = None, most: int = 10
) -> AsyncIterator[tuple[Dispatcher, Module, ClientListener, int]]:
    """The sockets of clients and backends, joined to a scripted module."""
    loop, module = asyncio.get_running_loop(), module or Module()
    timers = TimerQueue(loop)
    backends = BackendPool(
        loop,
        timers,
        connect_timeout_ms=60_000,
        keepalive_ms=15_000,
        drain_grace_ms=1_000,
        max_connections=most,
        max_buffered_bytes=1_000_000,
    )
    driver = Dispatcher(
        settings(gateway_count=1, request_classes=(VIEW,)), 1, timers, backends, counter, most
    )
    driver.policy = module  # type: ignore[assignment]
    server = ClientListener(loop, timers, driver, TERMS, most, 1_000_000)
    yield driver, module, server, server.listen(LOCAL, 0)
    server.begin_shutdown()
    server.close()
    backends.close()


async def connect(port: int) -> Peer:
    return Peer(*await asyncio.open_connection(LOCAL, port))


# ---- a client that leaves ----


@pytest.mark.parametrize("behind", [b"", b"?what\r\n", encode(b"QUIT")])
def test_a_client_that_asks_much_and_goes_is_seen_to_go(behind: bytes) -> None:
    """Its end comes behind more requests than one connection may have waiting, or behind what ended it."""

    async def scenario() -> None:
        async with served() as (server, holder, port):
            peer = await connect(port)
            count = clients.MOST_WAITING * (1 if behind else 3)
            ids = [b"%04d" % number for number in range(count)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids) + behind)
            await until(lambda: len(holder.slots) == clients.MOST_WAITING)
            peer.close()
            await until(lambda: not server.connections)
            assert sorted(holder.gone) == sorted(holder.slots)
            for slot in list(holder.slots.values()):  # what was read ahead is not taken any more
                slot.complete(b"+late\r\n")
            assert len(holder.slots) == clients.MOST_WAITING

    in_loop(scenario)


def ask_and_go(port: int, most: int) -> None:
    """A client that writes as many requests as the system takes from it, and closes."""
    far = socket.socket()
    far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * most)
    far.connect((LOCAL, port))
    far.setblocking(False)
    data = memoryview(b"".join(encode(*request(b"%06d" % number)) for number in range(most // 100))[:most])
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[far.send(data) :]
    far.close()


def test_a_client_whose_end_lies_behind_much_that_it_asked_is_seen_to_go() -> None:
    """Unread, it is still with the client's system: no look at the socket here could tell of it."""

    async def scenario() -> None:
        async with served(memory=16 * 2**20) as (server, holder, port):
            ask_and_go(port, 4 * clients.MOST_AHEAD)
            async with asyncio.timeout(5):
                await until(lambda: holder.slots and not server.connections)
            assert sorted(holder.gone) == sorted(holder.slots)
            assert len(holder.slots) == clients.MOST_WAITING and server.ahead == 0

    in_loop(scenario)


@pytest.mark.parametrize("memory", [0, 1_000_000])
def test_what_is_read_ahead_of_the_answers_is_bounded(memory: int) -> None:
    """By what one connection may hold, and beyond that by what all of them may together."""

    async def scenario() -> None:
        async with served(memory=memory) as (server, holder, port):
            peer = await connect(port)
            ids = [b"%05d" % number for number in range(10_000)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: holder.slots and not next(iter(server.connections)).reading)
            (connection,) = server.connections
            most = max(clients.MOST_AHEAD, server.most_ahead)
            assert most < connection.reader.held == server.ahead <= most + clients.READ_BYTES
            for id in ids:  # and all of it is answered once there is room
                await until(lambda id=id: id.decode() in holder.slots)  # type: ignore[misc]
                holder.slots[id.decode()].complete(encode(id))
            assert [await peer.receive() for _ in ids] == [[id] for id in ids]
            assert server.ahead == 0

    in_loop(scenario)


@pytest.mark.parametrize("seen_by", ["a sweep", "a look"])
def test_an_end_behind_what_may_not_be_read_is_seen(seen_by: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """It has come as far as this machine, where all that may be read ahead is taken up."""
    monkeypatch.setattr(clients, "SWEEP_MS", 20.0 if seen_by == "a sweep" else 1e9)

    async def scenario() -> None:
        async with served(memory=0) as (server, holder, port):
            gone, stays = await connect(port), await connect(port)
            flood = b"".join(encode(*request(b"g%04d" % number)) for number in range(1_700))
            assert len(flood) > clients.MOST_AHEAD + clients.READ_BYTES + clients.MOST_WAITING * 110
            gone.writer.write(flood)
            stays.writer.write(flood.replace(b"g0", b"s0").replace(b"g1", b"s1"))
            await until(lambda: len(server.connections) == 2)
            await until(lambda: not any(connection.reading for connection in server.connections))
            slots = list(holder.slots.values())
            gone.close()

            def seen() -> bool:
                if seen_by == "a look":
                    for slot in slots:
                        slot.detect_disconnect()
                return len(server.connections) == 1

            async with asyncio.timeout(5):
                await until(seen)
            assert sorted(holder.gone) == [f"g{number:04}" for number in range(clients.MOST_WAITING)]
            for _ in range(20):
                assert seen()  # the other one stays, whose requests lie as deep
                await asyncio.sleep(0.002)

    in_loop(scenario)


def test_what_was_read_ahead_is_not_kept_once_it_is_taken() -> None:
    """Otherwise one connection after another would keep as much as all together may read ahead."""

    async def scenario() -> None:
        async with served(memory=16 * 2**20) as (server, holder, port):
            peer, count = await connect(port), 10_000
            peer.writer.write(b"".join(encode(*request(b"%05d" % number)) for number in range(count)))
            await until(lambda: server.ahead > 7 * clients.MOST_AHEAD)
            holder.reply = b"-BUSY\r\n"
            (connection,) = server.connections
            for slot in list(holder.slots.values()):
                slot.complete(b"-BUSY\r\n")
            await until(lambda: len(holder.slots) == count and server.ahead == 0)
            assert sys.getsizeof(connection.reader._buffer) < 2 * (MOST_TAKEN + clients.READ_BYTES)

    in_loop(scenario)


def test_what_all_connections_read_ahead_together_is_bounded() -> None:
    """Each may go on with its own part; one that has more goes on once others have left room."""

    async def scenario() -> None:
        async with served(memory=8 * clients.MOST_AHEAD) as (server, holder, port):
            flood = b"".join(encode(*request(b"%05d" % number)) for number in range(10_000))
            first, second = await connect(port), await connect(port)
            first.writer.write(flood)
            await until(lambda: server.connections and not next(iter(server.connections)).reading)
            second.writer.write(flood)
            await until(lambda: len(server.connections) == 2)
            one, other = server.connections
            await until(lambda: not one.reading and not other.reading)
            assert one.reader.held + other.reader.held == server.ahead
            assert server.most_ahead < server.ahead <= server.most_ahead + clients.MOST_AHEAD + 65536
            assert clients.MOST_AHEAD < other.reader.held <= clients.MOST_AHEAD + clients.READ_BYTES
            one.close()
            await until(lambda: other.reader.held > server.most_ahead)
            other.close()
            assert server.ahead == 0

    in_loop(scenario)


def test_a_request_whose_client_leaves_while_the_counter_is_asked_is_not_sent_on() -> None:
    async def scenario() -> None:
        answered = asyncio.Event()

        async def held(words: list[bytes]) -> Reply:
            await answered.wait()
            return b"ok 1\r\n"

        world = World(Backend(), counter=Counter(held))
        info = {**SETTINGS["familyInfo"], "countWait": 5_000.0}
        world.settings = {**SETTINGS, "groupSize": 9, "familyInfo": info}
        async with running(world):
            leaver, other = await world.client(), await world.client()
            leaver.send(*request(b"waits", plan=b"basic", spread=9))
            await until(lambda: world.counter.got)
            leaver.close()
            another = b"00000000b4d65522"  # that does not wait for the same answer
            assert await world.ask(other, id=b"1", customer=another) == b"value"
            answered.set()
            for number in (b"2", b"3"):
                assert await world.ask(other, id=number, customer=another) == b"value"
            assert [command[2] for command in world.backends[0].got] == [b"1", b"2", b"3"]

    in_loop(scenario)


def test_a_request_whose_client_leaves_while_it_waits_for_a_connection_is_not_sent_on() -> None:
    """The backend's queue of connections is full, so that the new one comes up late."""

    async def scenario() -> None:
        with contextlib.ExitStack() as stack:
            busy = stack.enter_context(socket.create_server((LOCAL, 0), backlog=0))
            address = busy.getsockname()
            busy.setblocking(False)
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(address)
            async with joined() as (driver, module, server, port):
                driver.backends.update(7, address, EndpointState.READY)
                module.answers[RequestArrived] = [StartAttempt("waits", 7)]
                leaver = knock(port, encode(*request(b"waits")))
                await until(lambda: driver.attempts)
                leaver.close()
                await until(lambda: not server.connections)
                assert not driver.backends.connections and not driver.attempts and not driver.requests
                kinds = [type(event) for event in module.events]
                assert kinds == [RequestArrived, ClientDisconnected, AttemptEnded]

    in_loop(scenario)


def test_a_request_whose_client_has_left_is_not_tried_again() -> None:
    async def scenario() -> None:
        break_off = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"waits":
                await break_off.wait()
                return b""
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        first, second = Backend(script), Backend(script)
        async with running(World(first, second)) as world:
            leaver, other = await world.client(), await world.client()
            leaver.send(*request(b"waits"))
            await until(lambda: first.got or second.got)
            leaver.close()
            assert await world.ask(other, id=b"1") == b"value"
            break_off.set()
            for number in (b"2", b"3"):
                assert await world.ask(other, id=number) == b"value"
            assert [command[2] for command in first.got + second.got].count(b"waits") == 1

    in_loop(scenario)


@pytest.mark.parametrize("end", ["close", "reset", "end of sending"])
def test_a_client_has_gone_however_it_ends_its_connection(end: str) -> None:
    """Also with answers to come; the pages know no other way to call a request off."""

    async def scenario() -> None:
        async with served() as (server, holder, port):
            commands = request(b"waits"), (b"CANCEL", b"waits"), request(b"too")
            far = knock(port, b"".join(encode(*command) for command in commands))
            await until(lambda: len(holder.slots) == 2)
            assert not holder.gone  # no command ends a request
            if end == "end of sending":
                far.shutdown(socket.SHUT_WR)
            else:
                if end == "reset":
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                far.close()
            await until(lambda: not server.connections)
            assert holder.gone == ["waits", "too"]
            if end == "end of sending":
                assert await (await heard(far)).receive() is None

    in_loop(scenario)


FIRST, SECOND = 7, 8  # backends
HELD_UP_S = 0.12  # more than the 0.1 s in which an attempt may still begin for a client that has left


class Waiting(Module):
    """Holds all requests back until something happens, then sends each on to the second backend."""

    def __init__(self, event: str) -> None:
        super().__init__()
        self.event, self.waiting = event, list[str]()

    def handle(self, now: float, event: Event) -> list[Action]:
        super().handle(now, event)
        match event:
            case RequestArrived(request) if request in ("before", "after"):
                return [StartAttempt(request, SECOND)]
            case RequestArrived(request):
                self.waiting.append(request)
                if self.event in ("a failed attempt", "a timer"):
                    return [StartAttempt(request, FIRST)]
                if self.event == "the counter's reply":
                    return [IncrementCounter("all", 1.0, 1_000.0)]
                return [StartAttempt(request, SECOND)]
            case TimerFired(TimerToken(_, request)) | AttemptEnded(request, request_finished=False):
                return [StartAttempt(request, SECOND)]
            case CounterResponse():
                waiting, self.waiting = self.waiting, []
                return [StartAttempt(request, SECOND) for request in waiting]
        return []


async def among_the_events(act: Callable[[], None]) -> None:
    """Act among what the event loop reads in one turn: its timers come next, and then what it reads anew."""
    loop, done = asyncio.get_running_loop(), asyncio.Event()
    near, far = socket.socketpair()

    def readable() -> None:
        loop.remove_reader(near)
        act()
        done.set()

    loop.add_reader(near, readable)
    far.send(b"go")
    await done.wait()
    near.close()
    far.close()


def flushing(counter: CounterClient) -> bool:
    return any(lane.flushing or lane.waiting or lane.connecting for lane in counter.lanes)


@pytest.mark.parametrize("count", [1, 300])
@pytest.mark.parametrize("event", ["a failed attempt", "a timer", "the counter's reply", "the request"])
def test_an_attempt_is_not_begun_for_a_client_whose_end_is_not_read_yet(
    event: str, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Held up, the event loop finds both in one turn, and what lets the request go on first.

    A timer or a reply brings the first attempt or a second copy, a failed attempt the next one.
    """
    monkeypatch.setattr("gateway.network.counter_client.SILENT_MS", math.inf)

    async def scenario() -> None:
        loop, first, tally, second = asyncio.get_running_loop(), Raw(), Raw(), Backend()
        await second.start()
        counter = CounterClient(loop, TimerQueue(loop), tally.address, 60_000.0)
        module = Waiting(event)
        async with joined(module, counter, 2 * count + 10) as (driver, _, server, port):
            driver.backends.update(FIRST, first.address, EndpointState.READY)
            driver.backends.update(SECOND, (LOCAL, second.port), EndpointState.READY)
            other = await connect(port)
            other.send(*request(b"before"))  # leaves a connection on which an attempt is written at once
            assert await other.receive() == b"value"
            await wait_for_reuse_delay(driver.backends)
            leavers: list[socket.socket] = []
            near: list[socket.socket] = []
            ids = [b"%d" % number for number in range(count)]
            if event != "the request":
                for id in ids:
                    leavers.append(knock(port, encode(*request(id))))
                    await until(lambda: len(driver.requests) == len(leavers))
                    if event != "the counter's reply":
                        near.append(await first.taken(1))
                if event == "the counter's reply":
                    near.append((await loop.sock_accept(tally.listener))[0])
                    near[0].setblocking(True)
                    await until(lambda: len(counter.calls["all"]) == count and not flushing(counter))

            def held_up() -> None:
                if event == "the request":
                    leavers.extend(knock(port, encode(*request(id))) for id in ids)
                elif event == "a failed attempt":
                    for each in near:
                        each.sendall(b"-ERR failed\r\n")
                elif event == "the counter's reply":
                    near[0].sendall(b"ok 1\r\n")
                else:
                    for id in ids:
                        told = functools.partial(
                            driver.deliver, TimerFired(TimerToken(TimerKind.REQUEST, id.decode()))
                        )
                        driver.timers.call_at(now_ms(), told)
                for leaver in leavers:
                    leaver.close()
                time.sleep(HELD_UP_S)

            await among_the_events(held_up)
            await until(lambda: len(module.of(ClientDisconnected)) == count)
            other.send(*request(b"after"))
            assert await other.receive() == b"value"
            assert [command[2] for command in second.got] == [b"before", b"after"]
            assert not driver.requests and not driver.attempts and not driver.left
            for each in near:
                each.close()
        counter.close()
        first.listener.close()
        tally.listener.close()
        await second.stop()

    in_loop(scenario)


def test_a_connection_that_comes_up_as_its_client_leaves_is_not_written_to() -> None:
    """Both are found in one turn, the connection first: it took its time behind a full queue."""

    async def scenario() -> None:
        with contextlib.ExitStack() as stack:
            busy = stack.enter_context(socket.create_server((LOCAL, 0), backlog=0))
            address = busy.getsockname()
            fillers = [stack.enter_context(socket.socket()) for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            async with joined() as (driver, module, server, port):
                driver.backends.update(FIRST, address, EndpointState.READY)
                module.answers[RequestArrived] = [StartAttempt("waits", FIRST)]
                leaver = knock(port, encode(*request(b"waits")))
                await until(lambda: driver.attempts)
                (connection,) = driver.backends.connections
                assert not connection.is_connected
                for filler in fillers:
                    filler.close()
                busy.settimeout(10.0)
                while True:  # nobody else has a turn until it is up
                    near, peer = busy.accept()
                    stack.enter_context(near)
                    if peer == connection.socket.getsockname():
                        break
                leaver.close()
                time.sleep(HELD_UP_S)
                await until(lambda: not server.connections)
                assert not driver.backends.connections and not driver.attempts
                near.settimeout(10.0)
                assert near.recv(1) == b""

    in_loop(scenario)


# ---- SIGTERM ----


def knock(port: int, *said: bytes) -> socket.socket:
    """A client that connects and writes at once: no turn of the gateway's event loop lies between."""
    far = socket.create_connection((LOCAL, port))
    for data in said:
        far.sendall(data)
    return far


async def heard(far: socket.socket) -> Peer:
    return Peer(*await asyncio.open_connection(sock=far))


def test_requests_on_connections_that_wait_to_be_taken_in_are_answered() -> None:
    """The kernel has accepted them: to close the listener would reset requests that have come whole."""

    async def scenario() -> None:
        async with served() as (server, holder, port):
            ids = [b"%03d" % number for number in range(2 * clients.TAKEN_AT_ONCE)]
            waiting = [knock(port, encode(*request(id))) for id in ids]
            assert not server.connections
            server.begin_shutdown()
            await until(lambda: len(holder.slots) == len(ids))
            for id, slot in holder.slots.items():
                slot.complete(encode(id.encode()))
            for id, far in zip(ids, waiting, strict=True):
                peer = await heard(far)
                assert await peer.receive() == [id]
                assert await peer.receive() is None  # and then it is closed
            await server.all_closed.wait()

    in_loop(scenario)


def test_a_connection_taken_in_last_may_still_say_what_is_on_its_way() -> None:
    async def scenario() -> None:
        async with served() as (server, holder, port):
            late, silent = knock(port), knock(port)
            server.begin_shutdown()
            assert len(server.connections) == 2
            late.sendall(encode(*request(b"late")))
            await until(lambda: "late" in holder.slots)
            holder.slots["late"].complete(encode(b"yes"))
            assert await (await heard(late)).receive() == [b"yes"]
            assert await (await heard(silent)).receive() is None

    in_loop(scenario)


@pytest.mark.parametrize("ahead", [b"", encode(*request(b"first"))])
def test_half_a_command_at_sigterm_may_become_whole(ahead: bytes) -> None:
    """Its last byte makes it a request, on a connection that the gateway must not have closed by then."""

    async def scenario() -> None:
        async with served() as (server, holder, port):
            command = encode(*request(b"second"))
            peer = await connect(port)
            peer.writer.write(ahead + command[:-20])
            await until(lambda: any(c.reader.held for c in server.connections))
            server.begin_shutdown()
            if ahead:
                holder.slots["first"].complete(encode(b"yes"))
                assert await peer.receive() == [b"yes"]
            peer.writer.write(command[-20:])
            await until(lambda: "second" in holder.slots)
            holder.slots["second"].complete(encode(b"too"))
            assert await peer.receive() == [b"too"]
            assert await peer.receive() is None

    in_loop(scenario)


def test_a_request_that_comes_with_the_answer_before_it_is_taken() -> None:
    async def scenario() -> None:
        async with served() as (server, holder, port):
            far = knock(port, encode(*request(b"first")))
            await until(lambda: holder.slots)
            server.begin_shutdown()
            far.sendall(encode(*request(b"second")))  # is with the kernel as the first is answered
            holder.slots["first"].complete(encode(b"yes"))
            assert "second" in holder.slots
            holder.slots["second"].complete(encode(b"too"))
            peer = await heard(far)
            assert [await peer.receive() for _ in range(3)] == [[b"yes"], [b"too"], None]

    in_loop(scenario)


def test_what_comes_after_the_last_answers_is_refused_and_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It never ran, so that its client may ask elsewhere; a backend's answer could not come in time."""
    monkeypatch.setattr("gateway.__main__.drain_times", lambda settings: (0.01, 0.05))
    monkeypatch.setattr("gateway.__main__.CLOSING_S", 10.0)

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        async with running(World(backend)) as world:
            hung, late = await world.client(), await world.client()
            hung.send(*request(b"hung"))
            data = encode(*request(b"late"))
            late.writer.write(data[:-3])
            await until(lambda: backend.got)
            world.stop.set()
            assert str(await hung.receive()) == "ERR failed"
            late.writer.write(data[-3:])
            assert str(await late.receive()) == "BUSY"
            assert await late.receive() is None
            assert len(backend.got) == 1

    in_loop(scenario)


def test_what_has_come_by_the_end_of_the_process_is_answered() -> None:
    async def scenario() -> None:
        async with served() as (server, holder, port):
            holder.reply = b"-BUSY\r\n"
            far = knock(port)
            await until(lambda: server.connections)
            far.sendall(encode(*request(b"first")))
            server.close()
            assert str(await (await heard(far)).receive()) == "BUSY"

    in_loop(scenario)


# ---- the list: an agent that is silent, a start, a move ----


class Agent(Discovery):
    """An agent that takes calls and says nothing until it is let."""

    def __init__(self) -> None:
        super().__init__()
        self.back = asyncio.Event()
        self.calls = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        await self.back.wait()
        await super().talk(reader, writer)


def test_an_agent_that_is_silent_is_asked_again_and_the_first_answer_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What it holds at its return counts as told at once: one lost call must not be waited for."""
    monkeypatch.setattr("gateway.network.endpoint_watch.SILENT_S", 3600.0)

    async def scenario() -> None:
        async with Watch(service=Agent(), again=0.01) as watch:
            agent = watch.service
            assert isinstance(agent, Agent)
            await until(lambda: agent.calls > MOST_TRIES)
            assert len(agent.open) <= MOST_TRIES + 1  # and not ever more of them
            agent.back.set()
            await until(lambda: len(agent.open) == 1)  # all others are left
            agent.watches = [writer for writer in agent.watches if writer in agent.open]
            agent.change(42, host("h0", 1, "draining"))
            await until(lambda: watch.heard)

    in_loop(scenario)


def test_a_gateway_starts_with_what_the_agent_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list in its configuration may be old, and a drain that the agent knows of counts as told."""
    monkeypatch.setattr("gateway.__main__.AGENT_S", 3600.0)

    async def scenario() -> None:
        drained, other = Backend(), Backend()
        world = World(drained, other)
        agent = world.discovery = Agent()

        async def answer_late() -> None:
            await until(lambda: agent.calls)
            assert not world.port  # nobody may come yet
            first, second = world.hosts()
            agent.whole["hosts"] = [{**first, "health": "draining"}, second]
            agent.back.set()

        late = asyncio.create_task(answer_late())
        async with running(world):
            await late
            peer = await world.client()
            for number in range(10):
                assert await world.ask(peer, id=b"%d" % number) == b"value"
            assert len(other.got) == 10 and not drained.got

    in_loop(scenario)


def test_a_start_goes_on_without_an_agent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.__main__.AGENT_S", 0.05)

    async def scenario() -> None:
        world = World(Backend())
        agent = world.discovery = Agent()
        ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        for server in (*world.backends, world.counter, agent):
            await server.start()
        task = asyncio.create_task(serve(parse_config(world.config()), world.stop, ready.set_result))
        world.port = await ready
        assert await world.ask(await world.client()) == b"value"
        world.stop.set()
        await task
        for server in (*world.backends, world.counter, agent):
            await server.stop()

    in_loop(scenario)


@pytest.mark.parametrize("known", [{"seq": "x"}, {"seq": 3, "hosts": [7]}])
def test_a_known_list_that_cannot_be_read_does_not_keep_a_gateway_from_starting(known: object) -> None:
    async def scenario() -> None:
        world = World(Backend())
        config = world.config
        world.config = lambda: {**config(), "known": known}  # type: ignore[method-assign]
        async with running(world):
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_a_move_to_a_silent_address_leaves_the_old_one_heard() -> None:
    """A drain that is told there meanwhile counts."""

    async def scenario() -> None:
        async with Watch(version=41, service=Discovery(), again=0.01) as watch:
            await watch.watched(1)
            silent = Agent()
            await silent.start()
            watch.client.move_to((LOCAL, silent.port))
            await until(lambda: silent.calls)
            watch.service.change(42, host("h0", 1, "draining"))
            await until(lambda: watch.heard)
            silent.whole = {"seq": 7, "whole": True, "hosts": [host("h1", 1)]}
            silent.back.set()
            await until(lambda: silent.watches)
            assert silent.requests[-1] == "/catalog/members?stream=1&index=7"
            await until(lambda: not watch.service.open)
            await silent.stop()

    in_loop(scenario)


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_a_list_may_come_over_several_lines(indent: int | None) -> None:
    async def scenario() -> None:
        async with Watch(version=None) as watch:
            watch.service.whole = {"seq": 7, "whole": True, "hosts": [host("h0", 1)]}
            watch.service.indent = indent
            await watch.watched(1)
            change = {"seq": 8, "whole": False, "hosts": [host("h0", 1, "draining"), host("h1", 2)]}
            watch.service.say(b"")
            for line in json.dumps(change, indent=indent).encode().split(b"\n"):
                watch.service.say(line)
            watch.service.say(b"")
            await until(lambda: len(watch.heard) == 2)
            assert [len(entries) for _, entries in watch.heard] == [1, 2]
            assert len(watch.service.requests) == 2

    in_loop(scenario)


@pytest.mark.parametrize("after", [b"", b'{"seq":43,"whole":false,"hosts":[]}'])
def test_an_object_that_was_cut_short_does_not_swallow_those_after_it(after: bytes) -> None:
    async def scenario() -> None:
        async with Watch(version=41) as watch:
            await watch.watched(1)
            watch.service.whole = {"seq": 44, "whole": True, "hosts": [host("h1", 1)]}
            watch.service.say(b'{"seq":42,"whole":false,"hosts":[{"host":')
            watch.service.say(after)
            await watch.watched(2)
            assert watch.service.requests[1:] == ["/catalog/members", "/catalog/members?stream=1&index=44"]
            assert watch.heard == [(UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)])]

    in_loop(scenario)


# ---- a backend's connection that ends while a request is on it ----


class Raw:
    """A backend whose one connection a test holds in its hands."""

    def __init__(self) -> None:
        self.listener = socket.create_server((LOCAL, 0))
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()

    async def taken(self, commands: int) -> socket.socket:
        """Its connection, once so many commands have come whole."""
        loop = asyncio.get_running_loop()
        near, _ = await loop.sock_accept(self.listener)
        peer = Peer(*await asyncio.open_connection(sock=near.dup()))
        for _ in range(commands):
            assert await peer.receive()
        near.setblocking(True)
        return near

    def reset(self, near: socket.socket) -> None:
        near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        near.close()


ANSWER = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


@pytest.mark.parametrize("said", [b"", ANSWER[:1], ANSWER[:14], ANSWER[:-1]])
def test_a_reset_in_the_middle_of_an_answer_may_have_run(said: bytes) -> None:
    async def scenario() -> None:
        raw = Raw()
        async with open_pool() as made:
            made.update(0, raw.address, EndpointState.READY)
            tried = RecordedAttempt(made)
            near = await raw.taken(1)
            near.sendall(said)
            await until(lambda: made.resources.buffered_bytes == len(said))
            near.shutdown(socket.SHUT_RDWR)
            raw.reset(near)
            assert await tried.result() == (Outcome.CONNECTION_RESET, b"")
            assert not made.connections and made.resources.buffered_bytes == 0
        raw.listener.close()

    in_loop(scenario)


def test_a_close_that_crosses_a_send_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The backend's close is on its way as the request is written: nobody here can know yet."""
    monkeypatch.setattr(
        "gateway.network.backend_connection.BackendConnection.is_alive", lambda connection: True
    )

    async def scenario() -> None:
        raw = Raw()
        async with open_pool() as made:
            made.update(0, raw.address, EndpointState.READY)
            first = RecordedAttempt(made)
            near = await raw.taken(1)
            near.sendall(ANSWER)
            assert (await first.result())[0] is Outcome.OK
            await wait_for_reuse_delay(made)
            near.shutdown(socket.SHUT_RDWR)
            second = RecordedAttempt(made)  # in the same turn of the loop
            assert (await second.result())[0] is Outcome.CONNECTION_RESET
            assert not made.connections
        raw.listener.close()

    in_loop(scenario)


def test_an_answer_and_a_time_out_in_one_moment_are_one_outcome() -> None:
    """The answer is with the kernel, unread, as the attempt is given up."""

    async def scenario() -> None:
        raw = Raw()
        async with open_pool() as made:
            made.update(0, raw.address, EndpointState.READY)
            tried = RecordedAttempt(made)
            near = await raw.taken(1)
            near.sendall(ANSWER)
            made.abandon(tried.attempt, Outcome.TIMED_OUT)
            made.abandon(tried.attempt, Outcome.CANCELLED)
            assert tried.endings == [(Outcome.TIMED_OUT, b"")] and not made.connections
            again = RecordedAttempt(made)  # on a connection of its own: the old answer is not its
            near = await raw.taken(1)
            near.sendall(ANSWER.replace(b"value", b"other"))
            assert await again.result() == (Outcome.OK, b"other")
            assert len(tried.endings) == 1
        raw.listener.close()

    in_loop(scenario)


def test_a_connection_that_came_up_while_this_process_was_held_up_is_used() -> None:
    """Its end of time and its coming up are found together; the loop looks at its timers first."""

    async def scenario() -> None:
        backend, loop = Backend(), asyncio.get_running_loop()
        async with open_pool(backend, connect_timeout_ms=1) as made:
            tries: list[RecordedAttempt] = []
            near, far = socket.socketpair()

            def held_up() -> None:
                loop.remove_reader(near)
                tries.append(RecordedAttempt(made))
                time.sleep(0.02)  # the kernel connects meanwhile

            loop.add_reader(near, held_up)
            far.send(b"go")
            await until(lambda: tries)
            assert await tries[0].result() == (Outcome.OK, b"value")
            near.close()
            far.close()

    in_loop(scenario)
