"""A fake counter service, which keeps totals by name until they expire."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import partial

from .service import FakeService, ServiceConnection

EXPIRY_INTERVAL_S = 5.0
"""Seconds between two searches for expired totals."""

MAX_LIFETIME_MS = 60_000.0
"""Maximum lifetime of a total, in milliseconds; a call's longer lifetime is reduced to it."""


@dataclass(slots=True)
class Total:
    """A total, and when it expires in monotonic seconds."""

    expires_at: float
    value: float = 0.0


class CounterTotals:
    """The totals by name, independent of sockets and clocks."""

    def __init__(self) -> None:
        self._totals: dict[str, Total] = {}

    def increment(self, name: str, amount: float, lifetime_ms: float, now: float) -> float:
        """Add to a total and return it; its lifetime begins with its first increment. `now` is in seconds."""
        total = self._totals.get(name)
        if total is None or total.expires_at < now:
            total = self._totals[name] = Total(now + min(MAX_LIFETIME_MS, lifetime_ms) / 1000)
        total.value += amount
        return total.value

    def remove_expired(self, now: float) -> None:
        """Remove the totals that have expired at `now`, in seconds."""
        for name in [name for name, total in self._totals.items() if total.expires_at < now]:
            del self._totals[name]


class CounterConnection(ServiceConnection):
    """A connection to the counter, on which each call is a line of text."""

    def __init__(self, counter: FakeCounter) -> None:
        super().__init__(counter)
        self._counter = counter
        self._buffer = b""

    def process_input(self, data: bytes) -> None:
        """Respond to all complete lines, in one write."""
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        if responses := [self._counter.respond(line) for line in lines]:
            self.write(b"".join(responses))


class FakeCounter(FakeService):
    """Serves totals to gateways, and counts the increments."""

    def __init__(self) -> None:
        super().__init__()
        self._calls = 0
        self._totals = CounterTotals()
        self._expiry_task = asyncio.get_running_loop().create_task(self._remove_expired())

    def begin(self) -> None:
        """Reset all counts."""
        super().begin()
        self._calls = 0

    def counts(self) -> dict[str, int]:
        """Return the bytes and the calls since `begin`."""
        return {**super().counts(), "calls": self._calls}

    def respond(self, line: bytes) -> bytes:
        """Return the response to a line."""
        if line == b"ping":
            return b"pong\r\n"
        try:
            verb, name, amount_text, lifetime_text = line.split()
            amount = float(amount_text)
            lifetime_ms = float(lifetime_text)
        except ValueError:
            return b"error\r\n"
        if verb != b"tally":
            return b"error\r\n"
        self._calls += 1
        total = self._totals.increment(name.decode(), amount, lifetime_ms, time.monotonic())
        return b"ok %.3f\r\n" % total

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._totals.remove_expired(time.monotonic())

    def close(self) -> None:
        """Stop the removal of expired totals, stop listening and abort all connections."""
        self._expiry_task.cancel()
        super().close()


async def start_counter() -> tuple[FakeCounter, int]:
    """Start a fake counter; return it and its port."""
    counter = FakeCounter()
    (port,) = await counter.listen(partial(CounterConnection, counter))
    return counter, port
