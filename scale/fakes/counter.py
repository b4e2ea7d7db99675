"""A fake counter service: keeps totals by name, each until it expires."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import partial

from .service import FakeService, ServiceConnection

EXPIRY_INTERVAL_S = 5.0
"""Between two searches for totals that have expired."""

MAX_LIFETIME_MS = 60_000.0
"""Longest life of a total, whatever a call asks for."""


@dataclass(slots=True)
class Total:
    """A total and when it expires, in seconds."""

    expires_at: float
    value: float = 0.0


class CounterTotals:
    """The totals themselves, apart from sockets and clocks."""

    def __init__(self) -> None:
        self._totals: dict[str, Total] = {}

    def increment(self, name: str, amount: float, lifetime_ms: float, now: float) -> float:
        """Add to a total and return it; its life runs from its first increment. `now` is in seconds."""
        total = self._totals.get(name)
        if total is None or total.expires_at < now:
            total = self._totals[name] = Total(now + min(MAX_LIFETIME_MS, lifetime_ms) / 1000)
        total.value += amount
        return total.value

    def remove_expired(self, now: float) -> None:
        """Forget what has expired by `now`."""
        for name in [name for name, total in self._totals.items() if total.expires_at < now]:
            del self._totals[name]


class CounterConnection(ServiceConnection):
    """A connection to the counter: calls as lines of text."""

    def __init__(self, counter: FakeCounter) -> None:
        super().__init__(counter)
        self._counter = counter
        self._unread = b""

    def process_input(self, data: bytes) -> None:
        """Answer all complete lines, in one write."""
        *lines, self._unread = (self._unread + data).split(b"\r\n")
        if answers := [self._counter.answer(line) for line in lines]:
            self.write(b"".join(answers))


class FakeCounter(FakeService):
    """Serves totals; `calls` counts the increments that were answered."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0
        self._totals = CounterTotals()
        self._expiry_task = asyncio.get_running_loop().create_task(self._remove_expired())

    def begin(self) -> None:
        """Restart all counts."""
        super().begin()
        self.calls = 0

    def answer(self, line: bytes) -> bytes:
        """Return the answer to one line."""
        if line == b"ping":
            return b"pong\r\n"
        try:
            verb, name, amount, lifetime_ms = line.split()
            increment = float(amount), float(lifetime_ms)
        except ValueError:
            return b"error\r\n"
        if verb != b"tally":
            return b"error\r\n"
        self.calls += 1
        total = self._totals.increment(name.decode(), *increment, time.monotonic())
        return b"ok %.3f\r\n" % total

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._totals.remove_expired(time.monotonic())

    def close(self) -> None:
        """End the expiry and all connections."""
        self._expiry_task.cancel()
        super().close()


async def start_counter() -> tuple[FakeCounter, int]:
    """Start the counter; return it and its port."""
    counter = FakeCounter()
    (port,) = await counter.listen(partial(CounterConnection, counter))
    return counter, port
