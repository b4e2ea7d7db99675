"""The backends that discovery lists, and the slice of them that one gateway uses.

The gateways of a round divide one shuffled order of the ready backends among them, each round another one:
all are covered evenly, and one that comes or goes moves the slices by no more than one place (deterministic
subsetting). A change costs by its own size and the logarithm of the list: each backend is hashed once for its
place, and the slice is kept up at its edges. What touches over `AT_ONCE` backends is done in steps, and the
slice in force meanwhile only loses what drains or has gone: nothing is chosen by an order half taken.
"""

from __future__ import annotations

import hashlib
import math
import random
import struct
from collections.abc import Callable
from typing import Generic, TypeVar

from sortedcontainers import SortedList

from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind

SUBSET, COVER = 8, 8  # backends that a gateway of a large fleet uses; gateways that each backend needs
AT_ONCE = 512  # places that may be worked out in one go
STEP = 128  # places worked out in one step of more, well under a millisecond's work

Used = TypeVar("Used")
# Packed into bytes, which the garbage collector passes over: to visit 39,000 takes it milliseconds.
Record = bytes  # when listed (a serial number), the zone's number, cell, started, ready
RECORD, CELL = struct.Struct("<qqqd?"), struct.Struct("<qq")
SERIAL_PART, CELL_PART = slice(0, 8), slice(8, 24)  # of a record; the last byte tells whether it is ready


class Order:
    """The ready backends in the order of one round, alike at all gateways; of no round, as listed."""

    def __init__(self, turn: int | None, by_cell: bool) -> None:
        self.turn, self.by_cell = turn, by_cell
        self.keys: dict[int, bytes] = {}
        self.sorted: SortedList[bytes] = SortedList()
        self.cells: dict[bytes, dict[int, None]] = {}  # the backends of each, if these are asked for

    def __len__(self) -> int:
        return len(self.keys)

    def add(self, backend: int, record: Record) -> bool:
        """Whether it was not there."""
        if backend in self.keys:
            return False
        key = self.keys[backend] = self.key(backend, record)
        self.sorted.add(key)
        if self.by_cell:
            self.cells.setdefault(record[CELL_PART], {})[backend] = None
        return True

    def place(self, backend: int) -> int:
        return self.sorted.bisect_left(self.keys[backend])

    def discard(self, backend: int, record: Record) -> int | None:
        """Gives the place that it had; None if it had none."""
        key = self.keys.pop(backend, None)
        if key is None:
            return None
        place = self.sorted.bisect_left(key)
        del self.sorted[place]
        if self.by_cell:
            cell = self.cells[record[CELL_PART]]
            del cell[backend]
            if not cell:
                del self.cells[record[CELL_PART]]
        return place

    def key(self, backend: int, record: Record) -> bytes:
        """The backend's place among the others; its number, which makes it unique, ends it."""
        number = backend.to_bytes(8, "big")
        if self.turn is None:
            return record[SERIAL_PART][::-1] + number  # the largest byte first, as they are compared
        return hashlib.blake2b(f"{self.turn}:{backend}".encode(), digest_size=8).digest() + number

    def between(self, start: int, end: int) -> list[int]:
        """The backends from one place to before another."""
        return [int.from_bytes(key[8:], "big") for key in self.sorted.islice(start, end)]


class EndpointSubset(Generic[Used]):
    """`subset` holds what `use` makes of each backend of the slice, in order."""

    def __init__(
        self, index: int, gateways: int, use: Callable[[Endpoint], Used], by_cell: bool = False
    ) -> None:
        self.index, self.gateways, self.use = index, max(1, gateways), use
        self.listed: dict[int, Record] = {}
        self.zones: dict[str, int] = {}  # their numbers in records
        self.order = Order(None, by_cell)
        self.backends: list[Used] = []
        self.backend_ids: list[int] = []  # the backends of `subset`
        self.start = 0  # the place of the first of them
        self.serial = 0
        self.staged: dict[int, Record] | None = None  # of a whole list, what has come of it
        self.arrived: list[int] = []  # of these, those not listed before
        self.building: Order | None = None  # is to take the place of `order`, which is not kept up meanwhile
        self.todo: list[int] = []  # backends that may still have to be given a place there
        self.done = 0  # of these

    def __len__(self) -> int:
        return len(self.listed)

    def __contains__(self, backend: int) -> bool:
        return backend in self.listed

    def entry(self, backend: int) -> Endpoint:
        _, zone, cell, started, ready = RECORD.unpack(self.listed[backend])
        state = EndpointState.READY if ready else EndpointState.DRAINING
        return Endpoint(backend, list(self.zones)[zone], cell, started, state)

    # ---- the list ----

    def apply(self, event: EndpointUpdate) -> None:
        """Take in changes, or one part of a whole list; drains are in force at once, even of a part."""
        if event.kind is UpdateKind.DELTA:
            self.staged = None  # of a whole list that broke off
            for entry in event.endpoints:
                self._change(entry)
            return self._settle()
        if event.is_first:
            self.staged, self.arrived = {}, []
        if self.staged is None:
            return
        for entry in event.endpoints:
            known = entry.backend_id in self.listed
            if known:
                self._change(entry)
            if entry.state is EndpointState.REMOVED:
                self.staged.pop(entry.backend_id, None)
                continue
            if not known and entry.backend_id not in self.staged:
                self.arrived.append(entry.backend_id)
            self.staged[entry.backend_id] = self.listed[entry.backend_id] if known else self._record(entry)
        if event.is_last:
            staged, self.staged = self.staged, None
            self._replace(staged, self.arrived)
        self._settle()

    def _record(self, entry: Endpoint) -> Record:
        if old := self.listed.get(entry.backend_id):
            serial = RECORD.unpack(old)[0]
        else:
            serial = self.serial = self.serial + 1
        zone = self.zones.setdefault(entry.zone, len(self.zones))
        return RECORD.pack(serial, zone, entry.cell, entry.started_at, entry.state is EndpointState.READY)

    def _change(self, entry: Endpoint) -> None:
        backend, old = entry.backend_id, self.listed.get(entry.backend_id)
        if entry.state is EndpointState.REMOVED:
            if old:
                self._leave(backend, old)
                del self.listed[backend]
            return
        record = self._record(entry)
        if record == old:
            return
        if old and (not record[-1] or record[CELL_PART] != old[CELL_PART]):
            self._leave(backend, old)
        self.listed[backend] = record
        if record[-1]:
            self._enter(backend, record)

    def _replace(self, staged: dict[int, Record], arrived: list[int]) -> None:
        """Put a whole list in the place of the one before."""
        before, self.listed = self.listed, staged
        gone = len(before) - (len(staged) - len(arrived))
        if gone + len(arrived) <= AT_ONCE:
            for backend in before.keys() - staged.keys() if gone else ():
                self._leave(backend, before[backend])
            for backend in arrived:
                if backend in staged and staged[backend][-1]:
                    self._enter(backend, staged[backend])
        else:
            for backend in [b for b in self.backend_ids if b not in staged]:
                self._drop(self.backend_ids.index(backend))
            self._build()

    # ---- the order and the slice ----

    def _enter(self, backend: int, record: Record) -> None:
        if self.building is not None:
            self.building.add(backend, record)
            return
        if not self.order.add(backend, record):
            return
        place = self.order.place(backend)
        if self.start < place < self.start + len(self.backend_ids):
            self._put(place - self.start, backend)
        elif place <= self.start:
            self.start += 1

    def _leave(self, backend: int, record: Record) -> None:
        if self.building is not None:
            self.building.discard(backend, record)
            if backend in self.backend_ids:
                self._drop(self.backend_ids.index(backend))
            return
        place = self.order.discard(backend, record)
        if place is None:
            return
        if place < self.start:
            self.start -= 1
        elif place < self.start + len(self.backend_ids):
            self._drop(place - self.start)

    def _put(self, at: int, backend: int) -> None:
        self.backend_ids.insert(at, backend)
        self.backends.insert(at, self.use(self.entry(backend)))

    def _drop(self, at: int) -> None:
        del self.backend_ids[at], self.backends[at]

    def _part(self, ready: int) -> tuple[int | None, int, int]:
        """The round that this gateway is in, with so many ready, and where its slice starts and ends."""
        size = max(SUBSET, COVER * ready / self.gateways)
        places: int = 2 ** max(0, math.floor(math.log2(max(1.0, ready / size))))  # seldom another number
        turn, place = divmod(self.index, places)
        return turn if places > 1 else None, ready * place // places, ready * (place + 1) // places

    def _settle(self) -> None:
        """Move the edges of the slice to where they are now."""
        if self.building is not None:
            return
        turn, start, end = self._part(len(self.order))
        if turn != self.order.turn:
            return self._build()
        if start >= self.start + len(self.backend_ids) or end <= self.start:
            self.start, self.backend_ids, self.backends = start, [], []
        while self.start < start:
            self._drop(0)
            self.start += 1
        while self.start > start:
            self.start -= 1
            self._put(0, *self.order.between(self.start, self.start + 1))
        while self.start + len(self.backend_ids) > end:
            self._drop(-1)
        for backend in self.order.between(self.start + len(self.backend_ids), end):
            self._put(len(self.backend_ids), backend)

    def _build(self) -> None:
        """Begin another order of all that are listed; a short one is whole at once."""
        ready = sum(record[-1] for record in self.listed.values())
        self.building = Order(self._part(ready)[0], self.order.by_cell)
        self.todo, self.done = list(self.listed), 0
        if len(self.todo) <= AT_ONCE:
            self.continue_rebuild(AT_ONCE)

    def continue_rebuild(self, most: int = STEP) -> None:
        """Go on with what is being built, by so many backends; the slice changes once it is whole."""
        if self.building is None:
            return
        for backend in self.todo[self.done : self.done + most]:
            record = self.listed.get(backend)
            if record and record[-1]:
                self.building.add(backend, record)
        self.done += most
        if self.done < len(self.todo):
            return
        self.order, self.building, self.todo = self.building, None, []
        turn, self.start, end = self._part(len(self.order))
        if turn != self.order.turn:  # so many came or went meanwhile
            return self._build()
        self.backend_ids = self.order.between(self.start, end)
        self.backends = [self.use(self.entry(backend)) for backend in self.backend_ids]

    def sample_outside(self, chance: random.Random, cell: tuple[str, int] | None = None) -> list[Endpoint]:
        """Ready backends for a request that none of the slice may serve.

        They are all; of a long list some by chance, or those of a cell if only such may serve it.
        """
        if cell is not None and self.order.by_cell and self.building is None:
            found = list(self.order.cells.get(CELL.pack(self.zones.get(cell[0], -1), cell[1]), ()))
        elif len(self.listed) <= AT_ONCE:
            found = sorted(self.listed, key=lambda backend: self.listed[backend][SERIAL_PART][::-1])
        elif self.building is not None:
            first = chance.randrange(len(self.todo))
            found = self.todo[first : first + AT_ONCE]
        else:
            first = chance.randrange(max(1, len(self.order) - AT_ONCE))
            found = self.order.between(first, first + AT_ONCE)
        return [self.entry(b) for b in found if b in self.listed and self.listed[b][-1]]
