"""Runs an endpoint watcher against a fake discovery, and records the updates that it delivers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.delivery import EndpointListener
from gateway.network.discovery.endpoint_list import ListedEndpoint, backend_id_of
from gateway.network.discovery.reopening import MIN_REOPEN_DELAY_S
from gateway.network.discovery.watch import EndpointWatcher
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.event_loop import wait_until
from tests.support.fake_services import FakeDiscovery

LIST_TARGET = "/catalog/members"
"""Request target of a snapshot call."""


def watch_target(version: int) -> str:
    """Return the request target of a watch for changes after this version of the endpoint list."""
    return f"{LIST_TARGET}?stream=1&index={version}"


class RecordedUpdate(NamedTuple):
    """One delivered part of an update: its kind, and the ids and states of its backends in order."""

    kind: UpdateKind
    states: list[tuple[int, EndpointState]]


def delta(**states: EndpointState) -> RecordedUpdate:
    """Return the record of a delta, given the states of its hosts by host name."""
    return _record(UpdateKind.DELTA, states)


def snapshot(**states: EndpointState) -> RecordedUpdate:
    """Return the record of a snapshot, given the states of its hosts by host name."""
    return _record(UpdateKind.SNAPSHOT, states)


def _record(kind: UpdateKind, states: dict[str, EndpointState]) -> RecordedUpdate:
    return RecordedUpdate(kind, [(backend_id_of(host), state) for host, state in states.items()])


class WatchHarness:
    """Runs an endpoint watcher against a fake discovery; `updates` records the parts that it delivers."""

    def __init__(
        self,
        version: int | None = 41,
        discovery: FakeDiscovery | None = None,
        *,
        backoff: Backoff | None = None,
        polls_discovery: bool = False,
        retry_interval_s: float = MIN_REOPEN_DELAY_S,
    ) -> None:
        self.version = version
        self.discovery = discovery or FakeDiscovery()
        self.backoff = backoff or Backoff(2, 10.0, random.Random(1))
        self.polls_discovery = polls_discovery
        self.retry_interval_s = retry_interval_s
        self.updates: list[RecordedUpdate] = []
        self.listener: EndpointListener = self.record

    def record(
        self, kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
    ) -> None:
        """Record one part of an update; this is the listener unless a test sets another one."""
        states = [(listed.endpoint.backend_id, listed.endpoint.state) for listed in endpoints]
        self.updates.append(RecordedUpdate(kind, states))

    async def __aenter__(self) -> WatchHarness:
        await self.discovery.start()
        self.watcher = EndpointWatcher(
            self.discovery.address,
            self.version,
            lambda *part: self.listener(*part),
            self.backoff,
            polls_discovery=self.polls_discovery,
            retry_interval_s=self.retry_interval_s,
        )
        self.task = asyncio.create_task(self.watcher.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.discovery.stop()

    async def wait_for_watches(self, count: int) -> None:
        """Wait until discovery has accepted at least `count` watches in total."""
        await wait_until(lambda: len(self.discovery.watches) >= count)

    async def wait_for_updates(self, count: int) -> None:
        """Wait until the watcher has delivered at least `count` parts of updates in total."""
        await wait_until(lambda: len(self.updates) >= count)


@asynccontextmanager
async def open_watch(**settings: Any) -> AsyncIterator[WatchHarness]:
    """Run a `WatchHarness` with these arguments; wait until its first watch is open."""
    async with WatchHarness(**settings) as watch:
        await watch.wait_for_watches(1)
        yield watch
