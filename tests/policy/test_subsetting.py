"""The endpoint list and a gateway's subset: the same as in a simple reference, and at a bounded cost."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from gateway.policy.events import Endpoint, EndpointUpdate, UpdateKind
from gateway.policy.ring import Ring
from gateway.policy.subsetting import MAX_SAMPLE_SIZE, REBUILD_STEP, EndpointSubset
from tests.support.endpoints import DRAINING, READY, REMOVED, create_endpoint, ready_endpoints
from tests.support.reference_subset import FLEET_GATEWAY_COUNT, ReferenceSubset


def create_subset(
    gateway_index: int = 0, gateway_count: int = 1, *, has_cell_index: bool = False
) -> EndpointSubset[int]:
    return EndpointSubset(gateway_index, gateway_count, lambda endpoint: endpoint.backend_id, has_cell_index)


def apply_in_parts(
    subset: EndpointSubset[int], kind: UpdateKind, endpoints: list[Endpoint], part_count: int = 1
) -> None:
    size = max(1, math.ceil(len(endpoints) / part_count))
    starts = range(0, max(1, len(endpoints)), size)
    for start in starts:
        part = tuple(endpoints[start : start + size])
        subset.apply(EndpointUpdate(kind, part, is_first=start == 0, is_last=start == starts[-1]))


def finish_rebuild(subset: EndpointSubset[int]) -> None:
    while subset.is_rebuilding:
        subset.continue_rebuild()


class Update(NamedTuple):
    """One update of a random history, and the number of parts in which it is delivered."""

    kind: UpdateKind
    endpoints: list[Endpoint]
    part_count: int


def random_snapshot(rng: random.Random, listed: dict[int, Endpoint], max_length: int) -> Update:
    """Return a snapshot with few, most or all of the listed endpoints, and some new ones."""
    retained = [endpoint for endpoint in listed.values() if rng.random() < rng.choice((0.1, 0.9, 1.0))]
    new = [create_endpoint(rng.randrange(10**6), cell=rng.randrange(9)) for _ in range(max_length // 8)]
    shuffled = [*retained, *new]
    rng.shuffle(shuffled)
    endpoint_by_id = {endpoint.backend_id: endpoint for endpoint in shuffled}
    kind = rng.choice((UpdateKind.SNAPSHOT, UpdateKind.CACHED))
    return Update(kind, list(endpoint_by_id.values()), part_count=rng.randint(1, 9))


def random_delta(rng: random.Random, listed: dict[int, Endpoint], max_length: int) -> Update:
    """Return a delta of one, two or many changes: new backends, restarts, drains and removals."""
    endpoints = []
    for _ in range(rng.choice((1, 1, 2, max_length // 3))):
        old = rng.choice(list(listed.values()))
        state = rng.choice((READY, DRAINING, REMOVED, READY))
        new = create_endpoint(rng.randrange(10**6), cell=rng.randrange(9))
        changed = Endpoint(old.backend_id, old.zone, old.cell, rng.random() * 1e6, state)
        endpoints.append(new if len(listed) < max_length and rng.random() < 0.5 else changed)
    return Update(UpdateKind.DELTA, endpoints, part_count=1)


def random_history(rng: random.Random, max_length: int) -> Iterator[Update]:
    """Yield sixty snapshots and deltas of a list of about `max_length` backends."""
    listed: dict[int, Endpoint] = {}
    for _ in range(60):
        if rng.random() < 0.2 or not listed:
            update = random_snapshot(rng, listed, max_length)
            listed = {}
        else:
            update = random_delta(rng, listed, max_length)
        for endpoint in update.endpoints:
            listed[endpoint.backend_id] = endpoint
            if endpoint.state is REMOVED:
                del listed[endpoint.backend_id]
        yield update


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("gateway_count", "max_length"),
    [(1, 60), (7, 60), (40, 60), (200, 200), (30, 700), (200, 3_000), (3_700, 2_500)],
)
def test_subset_is_that_of_the_reference_after_every_update(
    gateway_count: int, max_length: int, seed: int
) -> None:
    rng = random.Random(seed)
    gateway_index = rng.randrange(gateway_count)
    has_cell_index = seed % 2 == 0
    subset = create_subset(gateway_index, gateway_count, has_cell_index=has_cell_index)
    reference = ReferenceSubset(gateway_index, gateway_count)

    for update in random_history(rng, max_length):
        reference.apply(update.kind, update.endpoints)
        apply_in_parts(subset, update.kind, update.endpoints, update.part_count)
        if max_length <= 200:
            assert not subset.is_rebuilding, "the ring of a short list is rebuilt at once"
        if rng.random() < 0.7:
            finish_rebuild(subset)

        if not subset.is_rebuilding:
            assert subset.backends == reference.backend_ids()
        assert subset.backends == subset.backend_ids
        assert set(subset.backend_ids) <= set(reference.ready_ids())
        assert subset.records.keys() == reference.listed.keys()

    finish_rebuild(subset)
    indexed_ids = {backend_id for cell in subset.ring.backend_ids_by_cell.values() for backend_id in cell}
    assert subset.backends == reference.backend_ids()
    assert indexed_ids == (set(subset.ring.sort_keys) if has_cell_index else set())


class CountingKey(bytes):
    """A sort key; the class counts the comparisons of all such keys."""

    comparisons = 0

    def __lt__(self, other: bytes) -> bool:
        CountingKey.comparisons += 1
        return bytes.__lt__(self, other)

    def __gt__(self, other: bytes) -> bool:
        CountingKey.comparisons += 1
        return bytes.__gt__(self, other)


class HashCounter:
    """Counts the sort keys that rings have computed."""

    def __init__(self) -> None:
        self.count = 0


@pytest.fixture
def hashes(monkeypatch: pytest.MonkeyPatch) -> HashCounter:
    """Count the sort keys that all rings compute, and make them `CountingKey`s."""
    counter = HashCounter()
    sort_key = Ring.sort_key

    def count_hash(ring: Ring, backend_id: int, record: bytes) -> bytes:
        counter.count += 1
        return CountingKey(sort_key(ring, backend_id, record))

    monkeypatch.setattr(Ring, "sort_key", count_hash)
    return counter


class ChangeCost(NamedTuple):
    """The mean cost of three changes together: a new backend, and the drain and removal of another one."""

    hashes: float
    comparisons: float
    created_backends: float


def measure_changes(list_length: int, hashes: HashCounter) -> ChangeCost:
    """Measure the cost of changes in a list of `list_length` backends, at a gateway of a large fleet."""
    created: Counter[int] = Counter()

    def create_backend(endpoint: Endpoint) -> int:
        created[endpoint.backend_id] += 1
        return endpoint.backend_id

    subset = EndpointSubset(1_234, FLEET_GATEWAY_COUNT, create_backend)
    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(list_length)), part_count=20)
    finish_rebuild(subset)
    assert len(subset.backend_ids) == len(subset.backends) > 0
    hashes.count = 0
    created.clear()
    CountingKey.comparisons = 0
    rng = random.Random(list_length)
    change_count = 300

    for number in range(change_count):
        backend_id = rng.randrange(list_length)
        for change in (
            create_endpoint(backend_id, DRAINING),
            create_endpoint(backend_id, REMOVED),
            create_endpoint(list_length + number),
        ):
            apply_in_parts(subset, UpdateKind.DELTA, [change])

    assert not subset.is_rebuilding
    return ChangeCost(
        hashes.count / change_count, CountingKey.comparisons / change_count, created.total() / change_count
    )


def test_the_cost_of_a_change_grows_with_the_logarithm_of_the_list(hashes: HashCounter) -> None:
    """Guards against sorting and hashing a long list at every change, which delays all requests by 0.1 s."""
    in_short_list = measure_changes(2_000, hashes)
    in_long_list = measure_changes(39_000, hashes)

    assert in_short_list.hashes == 1.0, "only the new backend is hashed, and once"
    assert in_long_list.hashes == 1.0
    assert in_long_list.comparisons < 8 * math.log2(39_000)
    assert in_long_list.comparisons < 2 * in_short_list.comparisons
    assert in_long_list.created_backends < 4, "the subset changes at its ends only"


def test_a_long_snapshot_is_ordered_in_steps_once_it_is_complete(hashes: HashCounter) -> None:
    subset = create_subset(1_234, FLEET_GATEWAY_COUNT)
    endpoints = ready_endpoints(range(20_000))

    apply_in_parts(subset, UpdateKind.SNAPSHOT, endpoints, part_count=313)

    assert subset.is_rebuilding
    assert hashes.count == 0, "no endpoint is hashed before the snapshot is complete"
    steps = 0
    while subset.is_rebuilding:
        hashes_before = hashes.count
        subset.continue_rebuild()
        steps += 1
        assert hashes.count - hashes_before <= REBUILD_STEP
    assert hashes.count == 20_000
    assert steps == math.ceil(20_000 / REBUILD_STEP)


def test_the_cost_of_a_snapshot_grows_with_its_difference_from_the_list(hashes: HashCounter) -> None:
    subset = create_subset(1_234, FLEET_GATEWAY_COUNT)
    reference = ReferenceSubset(1_234, FLEET_GATEWAY_COUNT)
    endpoints = ready_endpoints(range(20_000))
    apply_in_parts(subset, UpdateKind.SNAPSHOT, endpoints, part_count=313)
    finish_rebuild(subset)
    hashes.count = 0

    apply_in_parts(subset, UpdateKind.SNAPSHOT, endpoints[:-3], part_count=300)

    reference.apply(UpdateKind.SNAPSHOT, endpoints[:-3])
    assert not subset.is_rebuilding
    assert hashes.count == 0
    assert subset.backends == reference.backend_ids()


def test_drains_in_a_snapshot_part_apply_at_once_and_additions_with_the_last_part() -> None:
    subset = create_subset()
    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(9)))
    drained = [create_endpoint(backend_id, DRAINING) for backend_id in range(4)]

    subset.apply(
        EndpointUpdate(UpdateKind.SNAPSHOT, (*drained, create_endpoint(20)), is_first=True, is_last=False)
    )
    assert subset.backends == [4, 5, 6, 7, 8]

    subset.apply(
        EndpointUpdate(
            UpdateKind.SNAPSHOT, (create_endpoint(4), create_endpoint(21)), is_first=False, is_last=True
        )
    )
    assert subset.backends == [4, 20, 21]


@pytest.mark.parametrize(
    ("next_kind", "expected"), [(UpdateKind.DELTA, [0, 1, 2, 3]), (UpdateKind.SNAPSHOT, [1, 2, 3])]
)
def test_an_incomplete_snapshot_adds_no_backend(next_kind: UpdateKind, expected: list[int]) -> None:
    subset = create_subset()
    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(3)))
    subset.apply(
        EndpointUpdate(
            UpdateKind.SNAPSHOT, (create_endpoint(0), create_endpoint(7)), is_first=True, is_last=False
        )
    )

    apply_in_parts(subset, next_kind, ready_endpoints(range(1, 4)))
    late_part = EndpointUpdate(UpdateKind.SNAPSHOT, (create_endpoint(8),), is_first=False, is_last=True)
    subset.apply(late_part)

    assert subset.backends == expected


def test_changes_during_a_rebuild_are_applied() -> None:
    subset = create_subset(5, FLEET_GATEWAY_COUNT)
    reference = ReferenceSubset(5, FLEET_GATEWAY_COUNT)
    endpoints = ready_endpoints(range(5_000))
    apply_in_parts(subset, UpdateKind.SNAPSHOT, endpoints, part_count=50)
    reference.apply(UpdateKind.SNAPSHOT, endpoints)
    rng = random.Random(4)

    while subset.is_rebuilding:
        changes = [
            create_endpoint(rng.randrange(6_000), rng.choice((READY, DRAINING, REMOVED))) for _ in range(20)
        ]
        apply_in_parts(subset, UpdateKind.DELTA, changes)
        reference.apply(UpdateKind.DELTA, changes)
        subset.continue_rebuild()
        assert set(subset.backends) <= set(reference.ready_ids())

    assert subset.backends == reference.backend_ids()


def test_no_backend_of_a_replaced_list_stays_in_use() -> None:
    subset = create_subset(5, FLEET_GATEWAY_COUNT)
    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(5_000)), part_count=9)
    finish_rebuild(subset)
    assert subset.backends

    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(5_000, 10_000)), part_count=9)
    assert not subset.backends
    assert subset.is_rebuilding
    assert all(endpoint.backend_id >= 5_000 for endpoint in subset.sample_ready(random.Random(1)))

    finish_rebuild(subset)
    assert subset.backends
    assert min(subset.backends) >= 5_000


@pytest.fixture
def long_list_by_cell() -> EndpointSubset[int]:
    """A subset of 9,000 backends in 300 cells, with the cell index."""
    subset = create_subset(5, FLEET_GATEWAY_COUNT, has_cell_index=True)
    apply_in_parts(subset, UpdateKind.SNAPSHOT, ready_endpoints(range(9_000), cells=300))
    finish_rebuild(subset)
    return subset


def test_a_sample_of_a_cell_holds_all_of_its_backends(
    long_list_by_cell: EndpointSubset[int],
) -> None:
    sample = long_list_by_cell.sample_ready(random.Random(1), ("a", 7))

    assert {endpoint.backend_id for endpoint in sample} == set(range(7, 9_000, 300))


def test_a_sample_of_a_long_list_is_random_and_bounded(
    long_list_by_cell: EndpointSubset[int],
) -> None:
    samples = [
        {endpoint.backend_id for endpoint in long_list_by_cell.sample_ready(random.Random(seed))}
        for seed in range(2)
    ]

    assert [len(sample) for sample in samples] == [MAX_SAMPLE_SIZE, MAX_SAMPLE_SIZE]
    assert samples[0] != samples[1]
