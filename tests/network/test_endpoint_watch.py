"""Following the list of backends, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter as Tally
from typing import Any

import pytest

from gateway.network import endpoint_watch as module
from gateway.network.backoff import Backoff
from gateway.network.endpoint_watch import (
    EndpointListError,
    ListedEndpoint,
    backend_id_of,
    parse_endpoint_list,
)
from gateway.policy import GatewayPolicy
from gateway.policy.events import EndpointState, EndpointUpdate, UpdateKind
from tests.support.loopback import LOCAL, Backend, Discovery, Watch, World, host, in_loop, running, until
from tests.support.policy_harness import settings


def test_changes_are_followed_from_the_known_version_on() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            assert watch.service.requests == ["/catalog/members?stream=1&index=41"]
            watch.service.say(b"")
            watch.service.change(42, host("h0", 1, "draining"))
            watch.service.change(43, host("h1", 1), whole=True)
            await until(lambda: len(watch.heard) == 2)
            assert watch.heard == [
                (UpdateKind.DELTA, [(backend_id_of("h0"), EndpointState.DRAINING)]),
                (UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)]),
            ]

    in_loop(scenario)


def test_without_a_known_list_the_whole_one_is_read_first() -> None:
    async def scenario() -> None:
        async with Watch(version=None) as watch:
            watch.service.whole = {"seq": 7, "whole": True, "hosts": [host("h0", 1)]}
            await watch.watched(1)
            assert watch.service.requests[0] == "/catalog/members"
            assert watch.service.requests[1] == "/catalog/members?stream=1&index=7"
            assert [scope for scope, _ in watch.heard] == [UpdateKind.SNAPSHOT]

    in_loop(scenario)


def test_a_watch_that_ends_is_taken_up_where_it_stood() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            watch.service.change(50, host("h0", 1))
            await until(lambda: watch.heard)
            watch.service.hang_up()
            await watch.watched(2)
            assert watch.service.requests[-1] == "/catalog/members?stream=1&index=50"

    in_loop(scenario)


def test_a_silent_watch_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cut off machine says nothing, and the list would stay as it was for ever."""
    monkeypatch.setattr(module, "SILENT_S", 0.05)

    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(2)

    in_loop(scenario)


def test_a_change_that_cannot_be_read_brings_the_whole_list() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            watch.service.change(42, {"host": "h0"})
            await until(lambda: "/catalog/members" in watch.service.requests)
            await watch.watched(2)
            assert [scope for scope, _ in watch.heard] == [] or watch.heard[0][0] is UpdateKind.SNAPSHOT

    in_loop(scenario)


def test_a_watch_outlives_a_fault_in_taking_a_change() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            take, faults = watch.take, [RuntimeError("not now")]

            def faulty(
                scope: UpdateKind, members: tuple[ListedEndpoint, ...], first: bool = True, last: bool = True
            ) -> None:
                if faults:
                    raise faults.pop()
                take(scope, members)

            watch.client.listener = faulty
            watch.service.whole = {"seq": 43, "whole": True, "hosts": [host("h1", 1)]}
            watch.service.change(42, host("h0", 1))
            await watch.watched(2)
            assert watch.heard == [(UpdateKind.SNAPSHOT, [(backend_id_of("h1"), EndpointState.READY)])]

    in_loop(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "hosts": [{"host": "h", "dial": "nowhere", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]},
        {"seq": 1, "hosts": [3]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "a:1", "health": "up", "block": 2**63}]},
    ],
)
def test_a_malformed_list_is_named(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        parse_endpoint_list(raw)


def test_a_host_has_one_number_everywhere() -> None:
    assert backend_id_of("s-5be2a07c") == backend_id_of("s-5be2a07c") != backend_id_of("s-5be2a07d")


def test_a_drained_backend_gets_nothing_new_and_a_new_one_is_used() -> None:
    async def scenario() -> None:
        first, second = Backend(), Backend()
        world = World(first)
        await second.start()
        async with running(world):
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            world.discovery.change(42, host("h0", first.port, "draining"), host("h9", second.port))
            await until(lambda: first.ended)  # the idle connection goes as the change is heard
            for number in range(3):
                assert await world.ask(peer, id=b"%d" % number) == b"value"
            assert len(first.got) == 1 and len(second.got) == 3
        await second.stop()

    in_loop(scenario)


def test_a_move_reads_the_whole_list_at_the_new_address_first() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            for turn in range(2):  # also a second time
                new = Discovery()
                new.whole = {"seq": 7, "whole": True, "hosts": [host(f"h{turn}", 1)]}
                await new.start()
                watch.client.move_to((LOCAL, new.port))
                await until(lambda: new.watches)  # noqa: B023
                assert new.requests == ["/catalog/members", "/catalog/members?stream=1&index=7"]
                assert watch.heard[-1] == (
                    UpdateKind.SNAPSHOT,
                    [(backend_id_of(f"h{turn}"), EndpointState.READY)],
                )
                await until(lambda: not watch.service.open)
                await watch.service.stop()
                watch.service = new

    in_loop(scenario)


def test_a_move_does_not_wait_for_the_next_try(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "BACKOFF_S", (100.0, 100.0))

    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            watch.service.hang_up()
            await until(lambda: not watch.service.open)
            monkeypatch.setattr(module, "BACKOFF_S", (0.0, 0.0))
            watch.client.move_to((LOCAL, watch.service.port))
            await watch.watched(2)

    in_loop(scenario)


def test_a_discovery_too_busy_is_left_alone_as_long_as_the_backoff_says() -> None:
    """Danger: a fleet that asks again each second keeps discovery too busy to serve any of it."""

    async def scenario() -> None:
        class Busy(Discovery):
            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                self.requests.append("turned away")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

        class Told(Backoff):
            def next(self) -> float:
                told.append(super().next())
                return 0.0 if len(told) < 3 else 3600.0

        told: list[float] = []
        watch = Watch()
        watch.service = Busy()
        async with watch:
            watch.client.busy = Told(15, 10.0, random.Random(1))
            await until(lambda: len(told) == 3)
            assert watch.service.requests == ["turned away"] * 3
            assert told[2] > told[0] >= 0.5, "as many gateways ask, and each doubles its wait"

    in_loop(scenario)


LONG = 1_000  # entries, far more than are taken at once


def long_list(seq: int, health: str = "up") -> dict[str, Any]:
    return {"seq": seq, "whole": True, "hosts": [host(f"h{number}", 1, health) for number in range(LONG)]}


@pytest.mark.parametrize("order", [["seq", "whole", "hosts"], ["hosts", "whole", "seq"]])
def test_a_long_list_is_told_in_parts_and_what_waits_has_its_turn_between(order: list[str]) -> None:
    """Danger: read in one piece, a list of 39,000 holds up all requests for most of a second."""

    async def scenario() -> None:
        async with Watch(version=None) as watch:
            parts: list[tuple[int, bool, bool]] = []
            turns_at: list[int] = []
            turns = 0

            def take(
                scope: UpdateKind, members: tuple[ListedEndpoint, ...], first: bool = True, last: bool = True
            ) -> None:
                assert scope is UpdateKind.SNAPSHOT
                parts.append((len(members), first, last))
                turns_at.append(turns)

            watch.client.listener = take
            listed = long_list(7)
            watch.service.whole = {name: listed[name] for name in order}
            while not watch.client.snapshot_received.is_set():
                await asyncio.sleep(0)
                turns += 1
            assert sum(count for count, _, _ in parts) == LONG
            assert max(count for count, _, _ in parts) <= module.AT_ONCE
            assert [first for _, first, _ in parts] == [True] + [False] * (len(parts) - 1)
            assert [last for _, _, last in parts] == [False] * (len(parts) - 1) + [True]
            assert max(Tally(turns_at).values()) <= 2, "the event loop turns between them"

    in_loop(scenario)


def test_many_changes_that_come_together_leave_turns_between() -> None:
    async def scenario() -> None:
        async with Watch() as watch:
            await watch.watched(1)
            turns, at = 0, Tally[int]()

            def take(
                scope: UpdateKind, members: tuple[ListedEndpoint, ...], first: bool = True, last: bool = True
            ) -> None:
                at[turns] += len(members)

            watch.client.listener = take
            for number in range(LONG):
                watch.service.change(42 + number, host(f"h{number}", 1))
            while at.total() < LONG:
                await asyncio.sleep(0)
                turns += 1
            assert max(at.values()) <= module.AT_ONCE

    in_loop(scenario)


def test_a_long_list_that_breaks_off_puts_nothing_new_in_force() -> None:
    """The first parts of it are with the module by then; the list that is whole comes next."""

    async def scenario() -> None:
        async with Watch() as watch:
            gateway = GatewayPolicy(settings(), 1)
            lasts = []

            def take(
                scope: UpdateKind, members: tuple[ListedEndpoint, ...], first: bool = True, last: bool = True
            ) -> None:
                lasts.append(last)
                gateway.handle(1.0, EndpointUpdate(scope, tuple(m.entry for m in members), first, last))

            watch.client.listener = take
            await watch.watched(1)
            broken = long_list(43)
            broken["hosts"][-1] = {"host": "h"}
            watch.service.whole = {"seq": 44, "whole": True, "hosts": [host("good", 1)]}
            watch.service.say(json.dumps(broken).encode())
            await watch.watched(2)
            assert len(lasts) > 2 and lasts[-1] and not any(lasts[:-1])
            assert [b.id for b in gateway.subset] == [backend_id_of("good")]

    in_loop(scenario)


def test_a_list_that_names_a_backend_twice_goes_by_its_last_word() -> None:
    async def scenario() -> None:
        first, second = Backend(), Backend()
        world = World(first)
        await second.start()
        async with running(world):
            twice = host("h0", first.port), host("h0", first.port, "draining")
            world.discovery.change(42, *twice, host("h9", second.port), whole=True)
            peer = await world.client()
            while not second.got:
                assert await world.ask(peer, id=b"%d" % len(first.got)) == b"value"
            count = len(first.got)
            for number in range(5):
                assert await world.ask(peer, id=b"x%d" % number) == b"value"
            assert len(first.got) == count and len(second.got) == 6
            assert len(world.discovery.watches) == 1, "the list was taken"
        await second.stop()

    in_loop(scenario)
