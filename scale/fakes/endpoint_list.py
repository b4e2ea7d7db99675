"""A synthetic endpoint list in discovery's format, and its changes."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from scale.gateway_configuration import LOOPBACK, ZONES

BACKENDS_PER_CELL = 40
"""Number of backends in a cell, as in the fleet that the list is modelled on."""

NEXT_HEALTH = {"up": "draining", "draining": "removed", "removed": "up"}
"""The life cycle of a backend: maps a health to the health after the next change."""


class WatchEvent(NamedTuple):
    """A watch event: the version of the list after it, its JSON line, and the hosts that it changes."""

    version: int
    line: bytes
    hosts: list[str]


def make_entry(  # noqa: PLR0913 - one argument for each key that varies
    host: str, address: str, *, zone: str = "a", cell: int, health: str = "up", born_ms: int = 0
) -> dict[str, Any]:
    """Return a list entry in discovery's format; `born_ms` is the backend's start in Unix milliseconds."""
    return {
        "host": host,
        "dial": address,
        "site": zone,
        "class": "m2",
        "block": cell,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def encode_entry(entry: dict[str, Any]) -> bytes:
    """Return a list entry as compact JSON."""
    return json.dumps(entry, separators=(",", ":")).encode()


def encode_list(version: int, entries: Iterable[bytes], *, is_snapshot: bool) -> bytes:
    """Return the JSON object of a snapshot or a delta with these encoded entries."""
    is_complete = b"true" if is_snapshot else b"false"
    return b'{"seq":%d,"whole":%b,"hosts":[%b]}' % (version, is_complete, b",".join(entries))


class SyntheticEndpointList:
    """A list of backends that changes on demand.

    Entries are cached in their encoded form, because a list is sent many times.
    """

    def __init__(self, backends: int, ports: Sequence[int], seed: int) -> None:
        """`ports` are those of the fake backends; each port serves an equal part of the listed backends."""
        rng = random.Random(seed)
        self.version = 1
        self.entries = [
            make_entry(
                f"s-{number:05d}-{rng.getrandbits(32):08x}",
                f"{LOOPBACK}:{ports[number % len(ports)]}",
                zone=ZONES[number // BACKENDS_PER_CELL % len(ZONES)],
                cell=number // BACKENDS_PER_CELL,
            )
            for number in range(backends)
        ]
        self._encoded_entries = [encode_entry(entry) for entry in self.entries]
        self._change_order = list(range(backends))  # each backend changes once before any changes again
        rng.shuffle(self._change_order)
        self._marker = self._change_order.pop() if backends > 1 else 0
        self._change_count = 0
        self._snapshot = b""

    @property
    def marker_host(self) -> str:
        """Host of the backend that only `change_marker` changes."""
        return str(self.entries[self._marker]["host"])

    def snapshot(self) -> bytes:
        """Return the complete list as one line of JSON, without removed backends."""
        if not self._snapshot:
            listed = (
                text
                for entry, text in zip(self.entries, self._encoded_entries, strict=True)
                if entry["health"] != "removed"
            )
            self._snapshot = encode_list(self.version, listed, is_snapshot=True)
        return self._snapshot

    def change(self, count: int) -> WatchEvent:
        """Change each of the next `count` backends to its next health; return the watch event.

        A call changes no backend twice, and never the marker; `count` is capped accordingly.
        """
        count = min(count, len(self._change_order))
        positions = range(self._change_count, self._change_count + count)
        self._change_count += count
        return self._apply([self._change_order[position % len(self._change_order)] for position in positions])

    def change_marker(self) -> WatchEvent:
        """Change the marker to its next health; return the watch event."""
        return self._apply([self._marker])

    def _apply(self, numbers: list[int]) -> WatchEvent:
        for number in numbers:
            entry = self.entries[number]
            entry["health"] = NEXT_HEALTH[str(entry["health"])]
            if entry["health"] == "up":
                entry["born_ms"] = int(time.time() * 1000)
            self._encoded_entries[number] = encode_entry(entry)
        self.version += 1
        self._snapshot = b""
        changed = (self._encoded_entries[number] for number in numbers)
        line = encode_list(self.version, changed, is_snapshot=False)
        return WatchEvent(self.version, line, [str(self.entries[number]["host"]) for number in numbers])
