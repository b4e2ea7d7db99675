"""The endpoint list, and the subset of its backends that one gateway uses.

Deterministic subsetting, after "Load Balancing in the Datacenter" in Site Reliability Engineering: the
gateways form rounds, and the gateways of a round divide a permutation of the ready backends evenly among
them. A `Ring` holds the permutation; a gateway's subset is its window of it. So a gateway keeps connections
to few backends, and each backend gets its load from enough gateways.

A snapshot with more than `MAX_CHANGES_AT_ONCE` changes, or a change of the round, replaces the ring. The ring
of a long list is built in steps, and other events are handled between them. Until the last step the window
only loses backends, which drain or are removed, so that no backend is chosen from an incomplete ring.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Generic, TypeVar

from .endpoint_records import CELL_BYTES, READY_BYTE, SERIAL_BYTES, PendingSnapshot, Record, RecordCodec
from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from .ring import Rebuild, Ring, Window

MIN_SUBSET_SIZE = 8
"""Minimum number of backends that a gateway uses, if that many are ready."""

MIN_GATEWAYS_PER_BACKEND = 8
"""Minimum number of gateways that use each backend, so that its load does not depend on the demand at a few
gateways."""

MAX_CHANGES_AT_ONCE = 512
"""Maximum number of backends that a snapshot adds or removes, or that a new ring is built from, without other
events being handled in between."""

REBUILD_STEP = 128
"""Number of backends that one step adds to a new ring; a step takes well under a millisecond."""

MAX_SAMPLE_SIZE = 512
"""Maximum number of backends in a random sample of a long list, for a request that no backend of the subset
may serve."""

BackendT = TypeVar("BackendT")


def assign_window(gateway_index: int, gateway_count: int, ready_count: int) -> Window:
    """Return a gateway's window of a ring of `ready_count` backends; a window of all of them has no round."""
    min_size = max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND * ready_count / gateway_count)
    # A power of two, which seldom changes, so that the gateway's round and permutation seldom change either.
    window_count: int = 2 ** max(0, math.floor(math.log2(max(1.0, ready_count / min_size))))
    round_number, window_index = divmod(gateway_index, window_count)
    start = ready_count * window_index // window_count
    end = ready_count * (window_index + 1) // window_count
    return Window(round_number if window_count > 1 else None, start, end)


class EndpointSubset(Generic[BackendT]):
    """Keeps the endpoint list, and the subset of its backends that one gateway uses."""

    def __init__(
        self,
        gateway_index: int,
        gateway_count: int,
        create_backend: Callable[[Endpoint], BackendT],
        has_cell_index: bool = False,
    ) -> None:
        self.backends: list[BackendT] = []  # the subset, in the order of the ring
        self.backend_ids: list[int] = []  # the ids of `backends`, in the same order
        self.records: dict[int, Record] = {}  # by id, of all listed backends, ready or draining
        self.ring = Ring(None, has_cell_index=has_cell_index)
        self._gateway_index = gateway_index
        self._gateway_count = max(1, gateway_count)
        self._create_backend = create_backend
        self._codec = RecordCodec()
        self._window_start = 0
        self._pending_snapshot: PendingSnapshot | None = None
        self._rebuild: Rebuild | None = None

    @property
    def is_rebuilding(self) -> bool:
        """Whether `continue_rebuild` has work left."""
        return self._rebuild is not None

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a delta, or one part of a snapshot.

        Changes of listed backends apply at once. Only the last part of a snapshot adds the new backends, and
        removes those that the snapshot omits.
        """
        if update.kind is UpdateKind.DELTA:
            self._pending_snapshot = None  # the missing parts of an incomplete snapshot will not arrive
            for endpoint in update.endpoints:
                self._apply_change(endpoint)
            self._correct_window()
            return
        if update.is_first:
            self._pending_snapshot = PendingSnapshot()
        if self._pending_snapshot is None:
            return
        for endpoint in update.endpoints:
            self._add_to_snapshot(self._pending_snapshot, endpoint)
        if update.is_last:
            self._replace_list(self._pending_snapshot)
            self._pending_snapshot = None
        self._correct_window()

    def continue_rebuild(self, limit: int = REBUILD_STEP) -> None:
        """Add the next `limit` backends to the new ring; after the last step it replaces the current ring."""
        rebuild = self._rebuild
        if rebuild is None:
            return
        for backend_id in rebuild.take_next(limit):
            self._add_if_ready(backend_id)
        if not rebuild.is_complete:
            return
        self.ring = rebuild.ring
        self._rebuild = None
        window = assign_window(self._gateway_index, self._gateway_count, len(self.ring))
        if window.round_number != self.ring.round_number:  # many backends were added or removed meanwhile
            self._start_rebuild()
            return
        self._window_start = window.start
        self.backend_ids = self.ring.backend_ids_between(window.start, window.end)
        self.backends = [self._create(backend_id) for backend_id in self.backend_ids]

    def sample_ready(self, rng: random.Random, cell: tuple[str, int] | None = None) -> list[Endpoint]:
        """Return ready backends for a request that no backend of the subset may serve.

        With `cell` (zone and number) and a cell index, these are the backends of the cell, except during a
        rebuild. Otherwise they are all ready backends of a short list, or those among at most
        `MAX_SAMPLE_SIZE` consecutive backends from a random position of a long one.
        """
        records = self.records
        if cell is not None and self.ring.has_cell_index and self._rebuild is None:
            sampled_ids = list(self.ring.backend_ids_by_cell.get(self._codec.cell_key(*cell), ()))
        elif len(records) <= MAX_SAMPLE_SIZE:
            sampled_ids = sorted(records, key=lambda backend_id: records[backend_id][SERIAL_BYTES])
        elif self._rebuild is not None:
            start = rng.randrange(len(self._rebuild.backend_ids))
            sampled_ids = self._rebuild.backend_ids[start : start + MAX_SAMPLE_SIZE]
        else:
            start = rng.randrange(max(1, len(self.ring) - MAX_SAMPLE_SIZE))
            sampled_ids = self.ring.backend_ids_between(start, start + MAX_SAMPLE_SIZE)
        return [
            self._codec.unpack(b, records[b]) for b in sampled_ids if b in records and records[b][READY_BYTE]
        ]

    def _create(self, backend_id: int) -> BackendT:
        return self._create_backend(self._codec.unpack(backend_id, self.records[backend_id]))

    def _add_to_snapshot(self, snapshot: PendingSnapshot, endpoint: Endpoint) -> None:
        backend_id = endpoint.backend_id
        is_known = backend_id in self.records
        if is_known:
            self._apply_change(endpoint)
        if endpoint.state is EndpointState.REMOVED:
            snapshot.records.pop(backend_id, None)
            return
        if not is_known and backend_id not in snapshot.records:
            snapshot.new_backend_ids.append(backend_id)
        record = self.records[backend_id] if is_known else self._codec.pack(endpoint, None)
        snapshot.records[backend_id] = record

    def _apply_change(self, endpoint: Endpoint) -> None:
        backend_id = endpoint.backend_id
        previous = self.records.get(backend_id)
        if endpoint.state is EndpointState.REMOVED:
            if previous is not None:
                self._remove_from_ring(backend_id, previous)
                del self.records[backend_id]
            return
        record = self._codec.pack(endpoint, previous)
        if record == previous:
            return
        if previous is not None and (not record[READY_BYTE] or record[CELL_BYTES] != previous[CELL_BYTES]):
            self._remove_from_ring(backend_id, previous)
        self.records[backend_id] = record
        self._add_if_ready(backend_id)

    def _replace_list(self, snapshot: PendingSnapshot) -> None:
        """Replace the list with a snapshot; update the ring if few backends differ, else start a rebuild."""
        previous = self.records
        self.records = current = snapshot.records
        removed_count = len(previous) - (len(current) - len(snapshot.new_backend_ids))
        if removed_count + len(snapshot.new_backend_ids) > MAX_CHANGES_AT_ONCE:
            for backend_id in [b for b in self.backend_ids if b not in current]:
                self._drop_from_window(self.backend_ids.index(backend_id))
            self._start_rebuild()
            return
        for backend_id in previous.keys() - current.keys() if removed_count else ():
            self._remove_from_ring(backend_id, previous[backend_id])
        for backend_id in snapshot.new_backend_ids:
            self._add_if_ready(backend_id)

    def _add_if_ready(self, backend_id: int) -> None:
        record = self.records.get(backend_id)
        if record is None or not record[READY_BYTE]:
            return
        if self._rebuild is not None:
            self._rebuild.ring.add(backend_id, record)
        elif self.ring.add(backend_id, record):
            offset = self.ring.position(backend_id) - self._window_start
            if 0 < offset < len(self.backend_ids):
                self._insert_into_window(offset, backend_id)
            elif offset <= 0:
                self._window_start += 1

    def _remove_from_ring(self, backend_id: int, record: Record) -> None:
        if self._rebuild is not None:
            self._rebuild.ring.discard(backend_id, record)
            if backend_id in self.backend_ids:
                self._drop_from_window(self.backend_ids.index(backend_id))
            return
        position = self.ring.discard(backend_id, record)
        if position is None:
            return
        offset = position - self._window_start
        if offset < 0:
            self._window_start -= 1
        elif offset < len(self.backend_ids):
            self._drop_from_window(offset)

    def _start_rebuild(self) -> None:
        """Start to build a new ring of all listed backends; a short one is completed at once."""
        ready_count = sum(record[READY_BYTE] for record in self.records.values())
        window = assign_window(self._gateway_index, self._gateway_count, ready_count)
        ring = Ring(window.round_number, has_cell_index=self.ring.has_cell_index)
        self._rebuild = Rebuild(ring, list(self.records))
        if len(self.records) <= MAX_CHANGES_AT_ONCE:
            self.continue_rebuild(MAX_CHANGES_AT_ONCE)

    def _insert_into_window(self, offset: int, backend_id: int) -> None:
        self.backend_ids.insert(offset, backend_id)
        self.backends.insert(offset, self._create(backend_id))

    def _drop_from_window(self, offset: int) -> None:
        del self.backend_ids[offset]
        del self.backends[offset]

    def _correct_window(self) -> None:
        """Move the window's edges to fit the number of ready backends; for a new round, start a rebuild."""
        if self._rebuild is not None:
            return
        round_number, start, end = assign_window(self._gateway_index, self._gateway_count, len(self.ring))
        if round_number != self.ring.round_number:
            self._start_rebuild()
            return
        if end <= self._window_start:
            self._window_start = start
            self.backend_ids.clear()
            self.backends.clear()
        dropped_count = max(0, start - self._window_start)
        del self.backend_ids[:dropped_count]
        del self.backends[:dropped_count]
        for backend_id in reversed(self.ring.backend_ids_between(start, self._window_start)):
            self._insert_into_window(0, backend_id)
        self._window_start = start
        del self.backend_ids[end - start :]
        del self.backends[end - start :]
        for backend_id in self.ring.backend_ids_between(start + len(self.backend_ids), end):
            self._insert_into_window(len(self.backend_ids), backend_id)
