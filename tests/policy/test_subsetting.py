"""The list of backends and the slice that a gateway uses: as worked out plainly, and at a bounded cost."""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter as Tally
from collections.abc import Iterator

import pytest

from gateway.policy.actions import SetTimer
from gateway.policy.backend_table import MAX_KNOWN_OUTSIDE
from gateway.policy.backends import Backend
from gateway.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.load_balancing import SAMPLE_SIZE, LoadBalancer
from gateway.policy.policy import GatewayPolicy
from gateway.policy.requests import PendingRequest
from gateway.policy.subsetting import AT_ONCE, COVER, STEP, SUBSET, EndpointSubset, Order
from gateway.policy.timers import TimerKind, TimerToken
from tests.support.policy_harness import KEYED, RULES, SAFE, World, attempts_in, entry, settings

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


class Plain:
    """The old way, as a reference: everything is sorted and hashed at every change."""

    def __init__(self, index: int, gateways: int) -> None:
        self.index, self.gateways = index, gateways
        self.listed: dict[int, Endpoint] = {}

    def take(self, scope: UpdateKind, entries: list[Endpoint]) -> None:
        if scope is not UpdateKind.DELTA:
            named = {e.backend_id for e in entries}
            self.listed = {i: e for i, e in self.listed.items() if i in named}
        for e in entries:
            if e.state is GONE:
                self.listed.pop(e.backend_id, None)
            else:
                self.listed[e.backend_id] = e

    def slice(self) -> list[int]:
        ready = [e.backend_id for e in self.listed.values() if e.state is READY]
        size = max(SUBSET, COVER * len(ready) / max(1, self.gateways))
        places = 2 ** max(0, math.floor(math.log2(max(1.0, len(ready) / size))))
        turn, place = divmod(self.index, places)
        if places > 1:
            ready.sort(key=lambda b: hashlib.blake2b(f"{turn}:{b}".encode(), digest_size=8).digest())
        return ready[len(ready) * place // places : len(ready) * (place + 1) // places]


def members(index: int = 0, gateways: int = 1, by_cell: bool = False) -> EndpointSubset[int]:
    return EndpointSubset(index, gateways, lambda e: e.backend_id, by_cell)


def tell(m: EndpointSubset[int], scope: UpdateKind, entries: list[Endpoint], parts: int = 1) -> None:
    size = max(1, math.ceil(len(entries) / parts))
    cuts = range(0, max(1, len(entries)), size)
    for at in cuts:
        first, last = at == 0, at == cuts[-1]
        m.apply(EndpointUpdate(scope, tuple(entries[at : at + size]), first, last))


def whole(m: EndpointSubset[int]) -> None:
    while m.building is not None:
        m.continue_rebuild()


def some(ids: range, cells: int = 5) -> list[Endpoint]:
    return [entry(i, cell=i % cells) for i in ids]


def history(chance: random.Random, most: int) -> Iterator[tuple[UpdateKind, list[Endpoint], int]]:
    """Changes, restarts, drains, removals, bursts and whole lists, some of them in parts."""
    listed: dict[int, Endpoint] = {}
    for _ in range(60):
        kind = chance.random()
        if kind < 0.2 or not listed:
            kept = [e for e in listed.values() if chance.random() < chance.choice((0.1, 0.9, 1.0))]
            new = [entry(chance.randrange(10**6), cell=chance.randrange(9)) for _ in range(most // 8)]
            told = [*kept, *new]
            chance.shuffle(told)
            told = list({e.backend_id: e for e in told}.values())
            listed = {}
            scope, parts = chance.choice((UpdateKind.SNAPSHOT, UpdateKind.CACHED)), chance.randint(1, 9)
        else:
            told, scope, parts = [], UpdateKind.DELTA, 1
            for _ in range(chance.choice((1, 1, 2, most // 3))):
                old = chance.choice(list(listed.values()))
                state = chance.choice((READY, DRAINING, GONE, READY))
                fresh = entry(chance.randrange(10**6), cell=chance.randrange(9))
                moved = Endpoint(old.backend_id, old.zone, old.cell, chance.random() * 1e6, state)
                told.append(fresh if len(listed) < most and chance.random() < 0.5 else moved)
        for e in told:
            listed[e.backend_id] = e
            if e.state is GONE:
                del listed[e.backend_id]
        yield scope, told, parts


@pytest.mark.parametrize(
    ("gateways", "most"), [(1, 60), (7, 60), (40, 60), (200, 200), (30, 700), (200, 3_000), (3_700, 2_500)]
)
def test_the_slice_is_the_same_as_worked_out_plainly(gateways: int, most: int) -> None:
    for seed in range(6):
        chance = random.Random(seed)
        index = chance.randrange(gateways)
        kept, plain = members(index, gateways, by_cell=seed % 2 == 0), Plain(index, gateways)
        for scope, told, parts in history(chance, most):
            plain.take(scope, told)
            tell(kept, scope, told, parts)
            if most <= 200:
                assert kept.building is None, "what today's days have is taken at once"
            if chance.random() < 0.7:
                whole(kept)
            if kept.building is None:
                assert kept.backends == kept.backend_ids == plain.slice()
            assert set(kept.backend_ids) <= {i for i, e in plain.listed.items() if e.state is READY}
            assert kept.listed.keys() == plain.listed.keys()
        whole(kept)
        assert kept.backends == plain.slice()
        of_cells = {i for cell in kept.order.cells.values() for i in cell}
        assert of_cells == (set(kept.order.keys) if seed % 2 == 0 else set())


class Key(bytes):
    """A place in the order that counts how often it is compared."""

    compared = 0

    def __lt__(self, other: bytes) -> bool:
        Key.compared += 1
        return bytes.__lt__(self, other)

    def __gt__(self, other: bytes) -> bool:
        Key.compared += 1
        return bytes.__gt__(self, other)


@pytest.fixture
def work(monkeypatch: pytest.MonkeyPatch) -> Tally[str]:
    """Counts hashes, comparisons of places and backends that are taken up for use."""
    seen: Tally[str] = Tally()
    key = Order.key

    def counted(order: Order, backend: int, record: bytes) -> bytes:
        seen["hashed"] += 1
        return Key(key(order, backend, record))

    monkeypatch.setattr(Order, "key", counted)
    return seen


def work_of_changes(count: int, seen: Tally[str]) -> tuple[float, float, float]:
    """Hashes, comparisons and uses of a change in a list of so many, for a gateway of the target's fleet."""
    used: Tally[str] = Tally()

    def use(e: Endpoint) -> int:
        used["used"] += 1
        return e.backend_id

    m, chance = EndpointSubset(1_234, 3_700, use), random.Random(count)
    tell(m, UpdateKind.SNAPSHOT, some(range(count)), parts=20)
    whole(m)
    assert len(m.backend_ids) == len(m.backends) > 0
    seen.clear()
    used.clear()
    Key.compared, changes = 0, 300
    for number in range(changes):
        backend = chance.randrange(count)
        for change in (entry(backend, DRAINING), entry(backend, GONE), entry(count + number)):
            tell(m, UpdateKind.DELTA, [change])
    assert m.building is None
    return seen["hashed"] / changes, Key.compared / changes, used["used"] / changes


def test_a_change_costs_by_the_logarithm_of_the_list(work: Tally[str]) -> None:
    """Danger: a list sorted and hashed at every change holds all requests up for a tenth of a second."""
    small, large = work_of_changes(2_000, work), work_of_changes(39_000, work)
    assert small[0] == large[0] == 1.0, "each backend that comes is hashed, once, and no other"
    assert large[1] < 8 * math.log2(39_000) and large[1] < 2 * small[1]
    assert large[2] < 4, "the slice changes at its edges only"


def test_a_whole_list_is_ordered_in_steps(work: Tally[str]) -> None:
    m = members(1_234, 3_700)
    entries = some(range(20_000))
    for at in range(0, 20_000, 64):
        before = work["hashed"]
        tell_part = EndpointUpdate(
            UpdateKind.SNAPSHOT, tuple(entries[at : at + 64]), at == 0, at + 64 >= len(entries)
        )
        m.apply(tell_part)
        assert work["hashed"] == before, "and none of it before all is known"
    assert m.building is not None
    turns = 0
    while m.building is not None:
        before = work["hashed"]
        m.continue_rebuild()
        turns += 1
        assert work["hashed"] - before <= STEP
    assert work["hashed"] == 20_000 and turns == math.ceil(20_000 / STEP)
    work.clear()
    tell(m, UpdateKind.SNAPSHOT, entries[:-3], parts=300)
    assert m.building is None and not work["hashed"], "a list that hardly differs costs by the difference"
    plain = Plain(1_234, 3_700)
    plain.take(UpdateKind.SNAPSHOT, entries[:-3])
    assert m.backends == plain.slice()


def test_drains_in_a_part_are_in_force_at_once_and_what_is_new_with_the_last() -> None:
    m = members()
    tell(m, UpdateKind.SNAPSHOT, some(range(9)))
    drained = [entry(i, DRAINING) for i in range(4)]
    m.apply(EndpointUpdate(UpdateKind.SNAPSHOT, (*drained, entry(20)), True, False))
    assert m.backends == [4, 5, 6, 7, 8]
    m.apply(EndpointUpdate(UpdateKind.SNAPSHOT, (entry(4), entry(21)), False, True))
    assert m.backends == [4, 20, 21]


@pytest.mark.parametrize("then", [UpdateKind.DELTA, UpdateKind.SNAPSHOT])
def test_of_a_list_that_breaks_off_nothing_new_is_used(then: UpdateKind) -> None:
    m = members()
    tell(m, UpdateKind.SNAPSHOT, some(range(3)))
    m.apply(EndpointUpdate(UpdateKind.SNAPSHOT, (entry(0), entry(7)), True, False))
    tell(m, then, some(range(1, 4)))
    m.apply(EndpointUpdate(UpdateKind.SNAPSHOT, (entry(8),), False, True))  # the rest comes too late
    assert m.backends == ([0, 1, 2, 3] if then is UpdateKind.DELTA else [1, 2, 3])


def test_changes_amid_the_steps_are_in_force() -> None:
    m, plain = members(5, 3_700), Plain(5, 3_700)
    entries = some(range(5_000))
    tell(m, UpdateKind.SNAPSHOT, entries, parts=50)
    plain.take(UpdateKind.SNAPSHOT, entries)
    chance = random.Random(4)
    while m.building is not None:
        changes = [entry(chance.randrange(6_000), chance.choice((READY, DRAINING, GONE))) for _ in range(20)]
        tell(m, UpdateKind.DELTA, changes)
        plain.take(UpdateKind.DELTA, changes)
        m.continue_rebuild()
        assert set(m.backends) <= {i for i, e in plain.listed.items() if e.state is READY}
    assert m.backends == plain.slice()


def test_a_list_replaced_as_a_whole_leaves_none_of_the_old_in_use() -> None:
    m = members(5, 3_700)
    tell(m, UpdateKind.SNAPSHOT, some(range(5_000)), parts=9)
    whole(m)
    assert m.backends
    tell(m, UpdateKind.SNAPSHOT, some(range(5_000, 10_000)), parts=9)
    assert not m.backends and m.building is not None
    assert all(e.backend_id >= 5_000 for e in m.sample_outside(random.Random(1)))
    whole(m)
    assert m.backends and min(m.backends) >= 5_000


def test_beyond_the_slice_of_a_long_list_a_cell_or_some_by_chance_are_found() -> None:
    m = members(5, 3_700, by_cell=True)
    tell(m, UpdateKind.SNAPSHOT, some(range(9_000), cells=300))
    whole(m)
    found = {e.backend_id for e in m.sample_outside(random.Random(1), ("a", 7))}
    assert found == set(range(7, 9_000, 300))
    drawn = [{e.backend_id for e in m.sample_outside(random.Random(seed))} for seed in range(2)]
    assert all(len(d) == AT_ONCE for d in drawn) and drawn[0] != drawn[1]


# ---- in the module ----


def large(count: int) -> GatewayPolicy:
    """A gateway of the target's fleet with so many backends."""
    rules = settings(
        gateway_index=1_234, gateway_count=3_700, safety_rules=RULES, request_classes=(SAFE, KEYED)
    )
    gateway = GatewayPolicy(rules, seed=1)
    parts = [some(range(at, min(count, at + 64))) for at in range(0, count, 64)]
    for number, part in enumerate(parts):
        scope, first, last = UpdateKind.SNAPSHOT, number == 0, number == len(parts) - 1
        actions = gateway.handle(1_000.0, EndpointUpdate(scope, tuple(part), first, last))
        assert actions == (
            [SetTimer(0.0, TimerToken(TimerKind.BUILD_ORDER))] if last and count > AT_ONCE else []
        )
    while actions:
        actions = gateway.handle(1_000.0, TimerFired(TimerToken(TimerKind.BUILD_ORDER)))
    return gateway


def test_the_module_goes_on_with_a_long_order_as_its_timer_fires() -> None:
    gateway = large(5_000)
    plain = Plain(1_234, 3_700)
    plain.take(UpdateKind.SNAPSHOT, some(range(5_000)))
    assert [b.id for b in gateway.subset] == plain.slice()


def test_what_was_seen_is_kept_of_backends_in_use_only() -> None:
    gateway, chance = large(9_000), random.Random(3)
    assert len(gateway.backends.known) == len(gateway.subset) < 100
    for number in range(9_000):
        change = entry(chance.randrange(9_000), chance.choice((READY, DRAINING)))
        gateway.handle(2_000.0 + number, EndpointUpdate(UpdateKind.DELTA, (change,)))
        assert len(gateway.backends.known) <= len(gateway.subset) + MAX_KNOWN_OUTSIDE + 1
    assert all(gateway.backends.known[b.id] is b for b in gateway.subset)


def test_a_keyed_repeat_finds_its_cell_beyond_the_slice() -> None:
    """Few of a cell are in a slice of a long list, or none."""
    world = World([entry(1)], gateway_index=3, gateway_count=3_700, request_classes=(SAFE, KEYED))
    world.give(EndpointUpdate(UpdateKind.SNAPSHOT, tuple(some(range(2_000), cells=100))))
    world.pass_time(10)
    (first,) = attempts_in(world.ask("order"))
    (again,) = attempts_in(world.end(first, Outcome.CONNECTION_RESET, finished=False))
    assert again.backend_id % 100 == first.backend_id % 100 and again.backend_id != first.backend_id


@pytest.mark.parametrize(("count", "scored"), [(200, 12), (15_000, 59), (39_000, SAMPLE_SIZE)])
def test_a_choice_scores_a_bounded_number_of_backends(
    count: int, scored: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Danger: the slice grows with the list, and each request would weigh all of it."""
    gateway, costs = large(count), []
    cost = LoadBalancer.cost

    def counted(self: LoadBalancer, now: float, b: Backend, request: PendingRequest) -> float:
        costs.append(b.id)
        return cost(self, now, b, request)

    monkeypatch.setattr(LoadBalancer, "cost", counted)
    used, weighed = set(), set()
    for number in range(300):
        costs.clear()
        asked = RequestArrived(f"r{number}", "view", "free", "c", 9_000.0, 1.0, 2, 0)
        (sent,) = attempts_in(gateway.handle(2_000.0 + number, asked))
        assert len(costs) == scored
        weighed.update(costs)
        used.add(sent.backend_id)
        ended = AttemptEnded(sent.request_id, 0, sent.backend_id, Outcome.OK, 5.0, True)
        gateway.handle(2_001.0 + number, ended)
    assert weighed == {b.id for b in gateway.subset}, "each of the slice has its chances"
    assert len(used) > min(60, 0.8 * len(gateway.subset))
