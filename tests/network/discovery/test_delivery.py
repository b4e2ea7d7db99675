"""Delivery of endpoint lists in parts, between which the event loop runs other tasks."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any, NamedTuple

import pytest

from gateway.network.discovery.delivery import ENDPOINTS_PER_TURN
from gateway.network.discovery.endpoint_list import ListedEndpoint, backend_id_of
from gateway.policy import GatewayPolicy
from gateway.policy.events import EndpointUpdate, UpdateKind
from tests.support.event_loop import runs_in_loop
from tests.support.fake_services import endpoint_entry, endpoint_list_message
from tests.support.policy_settings import settings
from tests.support.watch_harness import WatchHarness, open_watch

LIST_LENGTH = 1_000
"""Number of endpoints of a long list: many times those delivered in one iteration of the event loop."""


class DeliveredPart(NamedTuple):
    """A delivered part of an update: its number of endpoints, and whether it was the first or last part."""

    size: int
    is_first: bool
    is_last: bool


def long_list(version: int) -> dict[str, Any]:
    entries = [endpoint_entry(f"h{number}", 1) for number in range(LIST_LENGTH)]
    return endpoint_list_message(version, *entries)


@pytest.mark.parametrize("order", [["seq", "whole", "hosts"], ["hosts", "whole", "seq"]])
@runs_in_loop
async def test_long_list_is_delivered_in_parts_with_turns_between(order: list[str]) -> None:
    """Delivered in one piece, a long list would block the event loop and delay all requests."""
    async with WatchHarness(version=None) as watch:
        parts: list[DeliveredPart] = []
        turns_of_parts: list[int] = []
        turn = 0

        def record_part(
            kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
        ) -> None:
            assert kind is UpdateKind.SNAPSHOT
            parts.append(DeliveredPart(len(endpoints), is_first, is_last))
            turns_of_parts.append(turn)

        watch.listener = record_part
        message = long_list(7)
        watch.discovery.snapshot = {name: message[name] for name in order}

        while not watch.watcher.snapshot_received.is_set():
            await asyncio.sleep(0)
            turn += 1

        assert sum(part.size for part in parts) == LIST_LENGTH
        assert max(part.size for part in parts) <= ENDPOINTS_PER_TURN
        assert [part.is_first for part in parts] == [True] + [False] * (len(parts) - 1)
        assert [part.is_last for part in parts] == [False] * (len(parts) - 1) + [True]
        assert max(Counter(turns_of_parts).values()) <= 2, "the event loop must run between parts"


@runs_in_loop
async def test_many_deltas_that_arrive_together_leave_turns_between() -> None:
    async with open_watch() as watch:
        endpoints_by_turn: Counter[int] = Counter()
        turn = 0

        def count_endpoints(
            _kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
        ) -> None:
            endpoints_by_turn[turn] += len(endpoints)

        watch.listener = count_endpoints

        for number in range(LIST_LENGTH):
            watch.discovery.send_update(42 + number, endpoint_entry(f"h{number}", 1))
        while endpoints_by_turn.total() < LIST_LENGTH:
            await asyncio.sleep(0)
            turn += 1

        assert max(endpoints_by_turn.values()) <= ENDPOINTS_PER_TURN


@runs_in_loop
async def test_malformed_long_list_is_not_applied() -> None:
    """The policy gets the first parts of the malformed list, but applies only the snapshot after it."""
    async with open_watch() as watch:
        policy = GatewayPolicy(settings(), 1)
        last_flags: list[bool] = []

        def apply(
            kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], is_first: bool, is_last: bool
        ) -> None:
            last_flags.append(is_last)
            entries = tuple(listed.endpoint for listed in endpoints)
            policy.handle(1.0, EndpointUpdate(kind, entries, is_first, is_last))

        watch.listener = apply
        broken = long_list(43)
        broken["hosts"][-1] = {"host": "h"}
        watch.discovery.snapshot = endpoint_list_message(44, endpoint_entry("good", 1))

        watch.discovery.send_line(json.dumps(broken).encode())
        await watch.wait_for_watches(2)

        assert len(last_flags) > 2
        assert last_flags[-1]
        assert not any(last_flags[:-1])
        assert [backend.id for backend in policy.subset] == [backend_id_of("good")]
