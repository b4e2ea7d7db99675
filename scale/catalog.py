"""The list of backends that the discovery stand-in tells, and its changes."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterable, Sequence
from typing import Any

from .settings import LOCAL, ZONES

BLOCK = 40  # backends of a rack
NEXT = {"up": "draining", "draining": "removed", "removed": "up"}


class Catalog:
    """Hosts in the form of discovery's entries. Bytes are kept as they go out: a list is sent many times."""

    def __init__(self, backends: int, ports: Sequence[int], seed: int) -> None:
        """`ports` are those of the backend stand-ins, which the hosts share evenly."""
        chance = random.Random(seed)
        self.seq = 1
        self.hosts = [
            {
                "host": f"s-{number:05d}-{chance.getrandbits(32):08x}",
                "dial": f"{LOCAL}:{ports[number % len(ports)]}",
                "site": ZONES[number // BLOCK % len(ZONES)],
                "class": "m2",
                "block": number // BLOCK,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
            }
            for number in range(backends)
        ]
        self.encoded = [encode(host) for host in self.hosts]
        self.turn = list(range(backends))  # the order in which hosts change: each once before any comes again
        chance.shuffle(self.turn)
        self.marker = self.turn.pop() if backends > 1 else 0  # changes only where a message is to mark an end
        self.changed = 0
        self._whole = b""

    def whole(self) -> bytes:
        """The whole list, as one line."""
        if not self._whole:
            listed = (
                text
                for host, text in zip(self.hosts, self.encoded, strict=True)
                if host["health"] != "removed"
            )
            self._whole = self._object(b"true", listed)
        return self._whole

    def change(self, count: int) -> tuple[bytes, list[str]]:
        """Change the next hosts, each as the life of a backend goes on; gives the line and the hosts' names.

        They are distinct, so at most all are changed but the marker.
        """
        count = min(count, len(self.turn))
        numbers = [self.turn[(self.changed + place) % len(self.turn)] for place in range(count)]
        self.changed += count
        return self._change(numbers)

    def change_marker(self) -> tuple[bytes, list[str]]:
        """Change the host that changes at no other time."""
        return self._change([self.marker])

    def _change(self, numbers: list[int]) -> tuple[bytes, list[str]]:
        for number in numbers:
            host = self.hosts[number]
            host["health"] = NEXT[str(host["health"])]
            if host["health"] == "up":
                host["born_ms"] = int(time.time() * 1000)
            self.encoded[number] = encode(host)
        self.seq += 1
        self._whole = b""
        line = self._object(b"false", (self.encoded[number] for number in numbers))
        return line, [str(self.hosts[number]["host"]) for number in numbers]

    def _object(self, whole: bytes, hosts: Iterable[bytes]) -> bytes:
        return b'{"seq":%d,"whole":%b,"hosts":[%b]}' % (self.seq, whole, b",".join(hosts))


def encode(host: dict[str, Any]) -> bytes:
    return json.dumps(host, separators=(",", ":")).encode()
