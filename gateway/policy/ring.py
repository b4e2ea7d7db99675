"""The ring: the ready backends in the order in which the gateways of one subsetting round divide them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

from sortedcontainers import SortedList

from .endpoint_records import CELL_BYTES, SERIAL_BYTES, Record

HASH_SIZE = 8
"""Length in bytes of the hash, or of the serial number, at the start of a sort key."""

ID_SIZE = 8
"""Length in bytes of the backend id at the end of a sort key."""


class Window(NamedTuple):
    """A gateway's part of a ring: the round, and the positions from `start` up to `end`, exclusive."""

    round_number: int | None
    start: int
    end: int


class Ring:
    """The ready backends in the permutation of one round, which is the same at all gateways.

    Without a round, they are in the order in which they were first listed. Each backend is hashed once, when
    it is added; the cost of adding, finding or discarding one grows with the logarithm of the ring's length.
    """

    def __init__(self, round_number: int | None, *, has_cell_index: bool) -> None:
        self.round_number = round_number
        self.has_cell_index = has_cell_index
        self.sort_keys: dict[int, bytes] = {}
        self.backend_ids_by_cell: dict[bytes, dict[int, None]] = {}
        """Ids by the `CELL_BYTES` of the backends' records, in insertion order."""
        self._sorted_keys: SortedList[bytes] = SortedList()

    def __len__(self) -> int:
        """Return the number of backends in the ring."""
        return len(self.sort_keys)

    def add(self, backend_id: int, record: Record) -> bool:
        """Add a backend; return False if the ring already holds it."""
        if backend_id in self.sort_keys:
            return False
        sort_key = self.sort_key(backend_id, record)
        self.sort_keys[backend_id] = sort_key
        self._sorted_keys.add(sort_key)
        if self.has_cell_index:
            self.backend_ids_by_cell.setdefault(record[CELL_BYTES], {})[backend_id] = None
        return True

    def discard(self, backend_id: int, record: Record) -> int | None:
        """Remove a backend; return the position that it had, or None if it was not in the ring."""
        sort_key = self.sort_keys.pop(backend_id, None)
        if sort_key is None:
            return None
        position = self._sorted_keys.bisect_left(sort_key)
        del self._sorted_keys[position]
        if self.has_cell_index:
            cell = record[CELL_BYTES]
            backend_ids = self.backend_ids_by_cell[cell]
            del backend_ids[backend_id]
            if not backend_ids:
                del self.backend_ids_by_cell[cell]
        return position

    def position(self, backend_id: int) -> int:
        """Return the number of backends before this one; raise KeyError if it is not in the ring."""
        return self._sorted_keys.bisect_left(self.sort_keys[backend_id])

    def backend_ids_between(self, start: int, end: int) -> list[int]:
        """Return the backend ids at the positions from `start` up to `end`, exclusive."""
        return [
            int.from_bytes(sort_key[HASH_SIZE:], "big") for sort_key in self._sorted_keys.islice(start, end)
        ]

    def sort_key(self, backend_id: int, record: Record) -> bytes:
        """Return the key that the backend is sorted by; the id at its end makes the key unique."""
        id_bytes = backend_id.to_bytes(ID_SIZE, "big")
        if self.round_number is None:
            return record[SERIAL_BYTES] + id_bytes
        seed = f"{self.round_number}:{backend_id}".encode()
        return hashlib.blake2b(seed, digest_size=HASH_SIZE).digest() + id_bytes


@dataclass(slots=True)
class Rebuild:
    """A ring that is being built. Changes that arrive meanwhile are made in it, not in the current ring."""

    ring: Ring
    backend_ids: list[int]
    """The backends that were listed when the rebuild began."""
    taken_count: int = 0

    def take_next(self, limit: int) -> list[int]:
        """Return the ids of the next backends to add, at most `limit`; each id is returned once."""
        start = self.taken_count
        self.taken_count = start + limit
        return self.backend_ids[start : start + limit]

    @property
    def is_complete(self) -> bool:
        """Whether all backends have been taken."""
        return self.taken_count >= len(self.backend_ids)
