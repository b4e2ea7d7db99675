"""An endpoint watcher at work against a fake discovery."""

from __future__ import annotations

import asyncio
import random

from gateway.network.discovery.backoff import Backoff
from gateway.network.discovery.delivery import EndpointListener
from gateway.network.discovery.endpoint_list import ListedEndpoint
from gateway.network.discovery.watch import MIN_REOPEN_DELAY_S, EndpointWatcher
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.event_loop import wait_until
from tests.support.fake_services import FakeDiscovery

RecordedUpdates = list[tuple[UpdateKind, list[tuple[int, EndpointState]]]]


class WatchHarness:
    """An endpoint watcher at work against a fake discovery; `heard` are the updates that it delivered."""

    def __init__(
        self,
        version: int | None = 41,
        service: FakeDiscovery | None = None,
        *,
        backoff: Backoff | None = None,
        is_polled: bool = False,
        reopen_after_s: float = MIN_REOPEN_DELAY_S,
    ) -> None:
        self.version = version
        self.service = service or FakeDiscovery()
        self.backoff = backoff or Backoff(2, 10.0, random.Random(1))
        self.is_polled = is_polled
        self.reopen_after_s = reopen_after_s
        self.updates = RecordedUpdates()
        self.listener: EndpointListener = self.record

    def record(
        self, kind: UpdateKind, endpoints: tuple[ListedEndpoint, ...], _is_first: bool, _is_last: bool
    ) -> None:
        """Note one part of an update; the listener unless a test sets another one."""
        self.updates.append((kind, [(e.endpoint.backend_id, e.endpoint.state) for e in endpoints]))

    async def __aenter__(self) -> WatchHarness:
        await self.service.start()
        self.client = EndpointWatcher(
            self.service.address,
            self.version,
            lambda *part: self.listener(*part),
            self.backoff,
            is_polled=self.is_polled,
            reopen_after_s=self.reopen_after_s,
        )
        self.task = asyncio.create_task(self.client.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.service.stop()

    async def wait_for_watches(self, count: int) -> None:
        """Wait until discovery has accepted so many watches in all."""
        await wait_until(lambda: len(self.service.watches) >= count)
