"""What one customer, one listed backend or one call more costs a gateway: the slopes of docs/CAPACITY.md.

    python benchmarks/slopes.py customers|marks|pick|entry|counter|starts|cut

Each prints a table. Times are processor time, the least of several runs; bytes of memory are those that the
interpreter has handed out. `counter`, `starts` and `cut` play gateways in virtual time, from one seed.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import heapq
import json
import math
import random
import statistics
import time
import tracemalloc
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial

from gateway.network.backend_pool import BackendPool
from gateway.network.backoff import Backoff
from gateway.network.endpoint_delivery import ENDPOINTS_PER_TURN
from gateway.network.endpoint_list import backend_id_of, parse_endpoints
from gateway.network.json_stream import iterate_array
from gateway.network.timers import TimerQueue
from gateway.policy.actions import IncrementCounter, SetTimer, StartAttempt
from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from gateway.policy.policy import GatewayPolicy
from gateway.policy.settings import Idempotency, Plan, RequestClass, SafetyRules, Settings
from gateway.policy.timers import TimerKind, TimerToken
from gateway.settings_document import parse_settings

VIEW = RequestClass(
    "timetable-read", latency_objective_ms=750, deadline_ms=2500, idempotency=Idempotency.IDEMPOTENT
)
RULES = SafetyRules(drain_grace_ms=500, initial_capacity=0.18, slow_start_ms=14_000, overload_multiple=4)
START = 1_790_000_000_000.0  # Unix milliseconds: the counter's names hold a period's number
ANSWER_MS, WIRE_MS = 50.0, 1.0
FREE = Plan("free")
REQUEST = "0123456789abcdef"


def settings(plan: Plan = FREE, **changes: object) -> Settings:
    values: dict[str, object] = dict(
        gateway_index=0, gateway_count=1, zone="a", request_classes=(VIEW,),
        plans=(plan,), safety_rules=RULES, max_attempts=3,
        cancellation_supported=True, max_retry_after_ms=1000.0, counter_timeout_ms=50.0,
    )  # fmt: skip
    return Settings(**(values | changes))  # type: ignore[arg-type]


def entries(number: int, started: float = 0.0) -> tuple[Endpoint, ...]:
    ready = EndpointState.READY
    return tuple(Endpoint(backend_id_of(f"s-{i:08x}"), "a", i // 4, started, ready) for i in range(number))


def row(*cells: object) -> None:
    print("| " + " | ".join(f"{c:,.3g}" if isinstance(c, float) else str(c) for c in cells) + " |")


def head(*cells: str) -> None:
    row(*cells)
    row(*("---" for _ in cells))


def least(act: Callable[[], object], runs: int = 5) -> float:
    """Microseconds of processor time."""
    times = []
    for _ in range(runs):
        begin = time.process_time_ns()
        act()
        times.append(time.process_time_ns() - begin)
    return min(times) / 1000


def held(act: Callable[[], object]) -> int:
    """Bytes that are kept of what it makes."""
    gc.collect()
    tracemalloc.start()
    kept = act()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


class Loop:
    """Gateways in virtual time, a counter that answers each call, and backends that serve all."""

    def __init__(self, gateways: int, plan: Plan, seed: int = 1) -> None:
        self.now, self.serial, self.chance = START, 0, random.Random(seed)
        self.plan = plan
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.gateways = [
            GatewayPolicy(
                settings(plan, gateway_index=i, gateway_count=gateways, counter_available=True), seed + i
            )
            for i in range(gateways)
        ]
        self.numbers: dict[str, float] = {}
        self.counter_up = True
        self.seen: Tally[str] = Tally()
        for index in range(gateways):
            self.give(index, EndpointUpdate(UpdateKind.SNAPSHOT, entries(8)))

    def later(self, delay: float, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, act))

    def play(self, seconds: float) -> None:
        end = self.now + seconds * 1000
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = end

    def customer(self, name: str, rate: float, at: list[int]) -> None:
        """One that asks evenly at all of its gateways, for good."""

        def ask() -> None:
            self.later(self.chance.expovariate(rate) * 1000, ask)
            self.serial += 1
            self.seen["asked"] += 1
            event = RequestArrived(
                f"{self.serial:016x}",
                VIEW.name,
                self.plan.name,
                name,
                self.now + VIEW.deadline_ms,
                1.0,
                len(at),
                at[0],
            )
            self.give(self.chance.choice(at), event)

        self.later(self.chance.expovariate(rate) * 1000, ask)

    def give(self, index: int, event: Event) -> None:
        for action in self.gateways[index].handle(self.now, event):
            match action:
                case SetTimer(delay, token):
                    self.later(delay, partial(self.give, index, TimerFired(token)))
                case IncrementCounter(name, amount, life):
                    self.count(index, name, amount, life)
                case StartAttempt(request, backend):
                    self.seen["sent"] += 1
                    ended = AttemptEnded(request, 0, backend, Outcome.OK, ANSWER_MS, True)
                    self.later(ANSWER_MS, partial(self.give, index, ended))

    def count(self, index: int, name: str, amount: float, life: float) -> None:
        self.seen["calls"] += 1
        reply = CounterResponse(name, Outcome.CONNECT_ERROR, 0.0)
        if self.counter_up:
            total = self.numbers[name] = self.numbers.get(name, 0.0) + amount
            reply = CounterResponse(name, Outcome.OK, total)
            self.seen["bytes"] += len(f"tally {name} {amount:.6f} {int(life)}\r\n") + len(
                f"ok {total:.7g}\r\n"
            )
        self.later(2 * WIRE_MS, partial(self.give, index, reply))


def customers() -> None:
    """A customer's memory and time at a gateway, by how many are known there."""
    print("The customers that a gateway knows: local leases (burst 40) and shared buckets (burst 2)")
    head(
        "burst", "gateways of a customer", "customers", "bytes each", "us a request",
        "us with a counter call", "us each to forget the idle ones",
    )  # fmt: skip
    for burst, spread in ((40, 2), (2, 12)):
        for number in (1_000, 10_000, 100_000):
            size = held(partial(Customers, number, burst, spread, False)) // number
            free, counted = (Customers(number, burst, spread, count) for count in (False, True))
            some = range(0, number, max(1, number // 2_000))
            plain, called = (least(partial(known.ask, some)) / len(some) for known in (free, counted))
            row(burst, spread, number, size, plain, called, least(free.forget) / number)


class Customers:
    """A gateway that knows so many."""

    def __init__(self, number: int, burst: int, spread: int, count: bool) -> None:
        plan = Plan("plan", rate=12.0, burst=burst, over_quota_cost=1.0)
        self.gateway = GatewayPolicy(settings(plan, gateway_count=spread, counter_available=count), 1)
        self.spread, self.now = spread, START
        self.gateway.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, entries(8)))
        self.ask(range(number))

    def ask(self, some: Iterable[int]) -> None:
        """One request of each, a second after the last; a call is due by then, and is answered at once."""
        self.now, self.gateway.leases.swept_at = self.now + 1_000.0, self.now
        for c in some:
            arrived = RequestArrived(
                REQUEST, VIEW.name, "plan", f"{c:016x}", self.now + 2_500, 1.0, self.spread, 0
            )
            actions = self.gateway.handle(self.now, arrived)
            for action in actions:
                if isinstance(action, IncrementCounter):
                    # About half of what time has paid since the period began: it is not the first call.
                    told = CounterResponse(action.name, Outcome.OK, 6.0 + action.amount)
                    actions += self.gateway.handle(self.now, told)
                elif isinstance(action, StartAttempt):
                    done = AttemptEnded(REQUEST, 0, action.backend_id, Outcome.OK, ANSWER_MS, True)
                    self.gateway.handle(self.now + 0.001, done)

    def forget(self) -> None:
        """What an arrival does that finds the idle ones due to be forgotten; none is idle."""
        self.gateway.leases.swept_at = 0.0
        unknown = RequestArrived(REQUEST, VIEW.name, "free", "", self.now + 1.0, 1.0, 1, 0)
        self.gateway.handle(self.now, unknown)
        self.gateway.handle(self.now, ClientDisconnected(REQUEST))


def marks() -> None:
    """What a backend's marks hold, where classes are as many as routes."""
    print("Marks of one backend, by the number of classes and plans that it was met with")
    head("classes", "bytes", "bytes a mark", "bytes a class in memory", "bytes a class in the configuration")
    for number in (10, 1_000, 75_000):

        def met(number: int = number) -> GatewayPolicy:
            gateway = GatewayPolicy(settings(), 1)
            gateway.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, entries(1)))
            for i in range(number):
                arrived = RequestArrived(REQUEST, f"route-{i}", "free", "c", START + i + 2_500, 1.0, 1, 0)
                for action in gateway.handle(START + i, arrived):
                    if isinstance(action, StartAttempt):
                        done = AttemptEnded(REQUEST, 0, action.backend_id, Outcome.OK, 5.0, True)
                        gateway.handle(START + i + 0.5, done)
            return gateway

        raw: dict[str, object] = {"classes": [raw_class(i) for i in range(number)]}
        size, told = held(met), held(partial(configured, raw))
        row(number, size, size // number, told // number, len(json.dumps(raw)) // number)


def configured(raw: dict[str, object]) -> GatewayPolicy:
    return GatewayPolicy(parse_settings(raw), 1)


def raw_class(number: int) -> dict[str, object]:
    return {
        "aim": 750.0, "deadline": 2500.0, "effect": "pure", "group": "all", "importance": 2.0,
        "lateWorth": 0.2, "name": f"route-{number}", "repeatWindow": 5000.0, "stream": False,
    }  # fmt: skip


def pick() -> None:
    """A choice of a backend, and a request with all its events, by the size of the slice and what fails."""
    print("A choice and a request, by the backends in a gateway's slice; 20 requests are out")
    head("backends in the slice", "attempts that fail", "us a choice", "us a request")
    for size in (8, 12, 38, 76, 152):
        for failing in (0.0, 0.05):
            busy = Busy(size, failing)
            busy.serve(2_000)
            whole = least(partial(busy.serve, 1_000)) / 1_000
            row(size, failing, least(partial(busy.choose, 1_000)) / 1_000, whole)


class Busy:
    """A gateway at 270 requests a second, whose slice is all that it is told of."""

    def __init__(self, size: int, failing: float) -> None:
        self.gateway, self.now, self.out = GatewayPolicy(settings(), 1), START, deque[tuple[str, int, int]]()
        self.failing, self.chance = failing, random.Random(1)
        self.gateway.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, entries(size)))

    def serve(self, number: int) -> None:
        for _ in range(number):
            self.now += 1000 / 270
            request = f"{int(self.now * 10):016x}"
            self.give(RequestArrived(request, VIEW.name, "free", "c", self.now + 2_500, 1.0, 1, 0), 0)
            while len(self.out) > 20:
                first, attempt, backend = self.out.popleft()
                ok = self.chance.random() >= self.failing
                outcome = Outcome.OK if ok else Outcome.FAILED
                self.give(AttemptEnded(first, attempt, backend, outcome, 75.0, ok), attempt + 1)

    def give(self, event: Event, attempt: int) -> None:
        for action in self.gateway.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.out.append((action.request_id, attempt, action.backend_id))

    def choose(self, number: int) -> None:
        """As for a request that has not been sent anywhere."""
        request = next(iter(self.gateway.requests.values()))
        request.tried_backend_ids = set()
        request.possibly_run = []
        for _ in range(number):
            self.gateway.balancer.pick(self.now, request)


def raw_entry(number: int, health: str = "up") -> dict[str, object]:
    return {
        "host": f"s-{number:08x}", "dial": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
        "site": "a", "class": "m2", "block": number // 4, "health": health, "share": 1.0,
        "born_ms": 1_790_000_000_000 + number,
    }  # fmt: skip


def entry() -> None:
    """A listed backend on the wire, in the gateway and in the pool, and one change in a list of many."""
    change = len(list_text(raw_entry(1_000, "draining"), whole=False)) + 1
    print(
        f"One change on the watch: {change} bytes, {change + len(f'{change:x}') + 4} with the chunk's frame;"
    )
    print("an empty line that shows that the watch lives: 6 bytes with the chunk's frame, in each 2 s")
    print("The list of backends, by its length; 3,700 gateways")
    head(
        "listed", "bytes of a list", "bytes each", "ms to read it", "MB held meanwhile", "ms to take it",
        "bytes each in memory", "ms of one change", "ms of a sweep of the pool",
    )  # fmt: skip
    for number in (1_000, 10_000, 39_000):
        whole = list_text(*(raw_entry(i) for i in range(number)), whole=True)
        read = least(partial(read_text, whole), 3)
        tracemalloc.start()
        read_text(whole)
        most = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        listed = entries(number)
        full = EndpointUpdate(UpdateKind.SNAPSHOT, listed)
        one_changed = EndpointUpdate(UpdateKind.DELTA, entries(1, started=START))

        def taken(full: EndpointUpdate = full) -> GatewayPolicy:
            gateway = GatewayPolicy(settings(gateway_count=3_700), 1)
            actions = gateway.handle(START, full)
            while actions:  # the order of a long list is built in steps
                actions = gateway.handle(START, TimerFired(TimerToken(TimerKind.BUILD_ORDER)))
            return gateway

        take, gateway = least(taken, 3), taken()
        changed = least(partial(gateway.handle, START, one_changed))
        pool, sweep = asyncio.run(pooled(listed))
        size = (held(taken) + pool) // number
        row(
            number, len(whole), len(whole) // number, read / 1000, most, take / 1000, size, changed / 1000,
            sweep / 1000,
        )  # fmt: skip


def read_text(text: str) -> None:
    for hosts in iterate_array(text, "hosts", ENDPOINTS_PER_TURN, {}):
        parse_endpoints(hosts)


def list_text(*hosts: dict[str, object], whole: bool) -> str:
    return json.dumps({"seq": 1_000_000, "whole": whole, "hosts": hosts}, separators=(",", ":"))


async def pooled(listed: tuple[Endpoint, ...]) -> tuple[int, float]:
    """Bytes that the pool keeps of the hosts, and the microseconds of its sweep of each second."""
    loop = asyncio.get_running_loop()
    pool = BackendPool(
        loop,
        TimerQueue(loop),
        connect_timeout_ms=250.0,
        keepalive_ms=15_000.0,
        drain_grace_ms=500.0,
        max_connections=256,
        max_buffered_bytes=1 << 20,
    )
    update, up = pool.update, EndpointState.READY
    size = held(
        lambda: [update(e.backend_id, (f"10.0.{i >> 8}.{i & 255}", i), up) for i, e in enumerate(listed)]
    )
    swept = least(pool.sweep)
    pool.close()
    return size, swept


def counter() -> None:
    """Calls of the counter for each request, by how customers ask and over how many gateways."""
    print("Calls and bytes on the counter for each request; the counter answers each call")
    head(
        "gateways of a customer", "asks a second", "quota", "burst", "requests", "sent on", "calls a request",
        "bytes a request", "bytes a call",
    )  # fmt: skip
    for spread in (2, 12, 100, 400):
        for asks, rate, burst in ((3.3, 11.0, 22.0), (3.3, 3.7, 7.4), (3.3, 1.1, 2.2), (0.3, 1.0, 2.0)):
            loop = Loop(spread, Plan("plan", rate=rate, burst=burst, over_quota_cost=1.0))
            for number in range(math.ceil(4_000 / 20 / asks)):
                loop.customer(f"{number:016x}", asks, list(range(spread)))
            loop.play(20)
            seen = loop.seen
            asked, calls = seen["asked"], seen["calls"]
            row(spread, asks, rate, burst, asked, seen["sent"] / asked, calls / asked, seen["bytes"] / asked,
                seen["bytes"] / calls)  # fmt: skip


def starts() -> None:
    """Calls that discovery gets as all gateways start together, where it has to be asked."""
    print("Calls of discovery at a start of all, 50 a second served, the list may be 10 s old")
    head(
        "gateways",
        "calls in the worst second",
        "turned away",
        "until half have it, s",
        "until all have it, s",
    )
    for gateways in (40, 200, 3_700):
        chance = random.Random(1)
        waits = [Backoff(gateways, 10.0, random.Random(i)) for i in range(gateways)]
        queue = [(w.initial_delay(), i) for i, w in enumerate(waits)]
        heapq.heapify(queue)
        seconds: Tally[int] = Tally()
        served: Tally[int] = Tally()
        done: list[float] = []
        while queue and queue[0][0] < 600.0:
            at, i = heapq.heappop(queue)
            seconds[int(at)] += 1
            if served[int(at)] < 50:
                served[int(at)] += 1
                done.append(at)
            else:
                heapq.heappush(queue, (at + waits[i].next_delay() + chance.random() * 0.01, i))
        away = sum(seconds.values()) - len(done)
        last = max(done) if len(done) == gateways else math.inf
        row(gateways, max(seconds.values()), away, statistics.median(done), last)


def cut() -> None:
    """Customers whose gateways lose the counter, all of them: what is sent on, and what is owed after."""
    print("Units sent on, as a part of the quota: with the counter, in a cut of 60 s from it, and after")
    head(
        "gateways of a customer", "asks a second", "quota", "burst", "15 s before", "first 15 s",
        "45 s after that", "bursts untold at its end", "15 s after the cut",
    )  # fmt: skip
    names = 12
    for spread in (2, 12, 100, 400, 1_850):
        for asks, rate, burst in ((3.0, 3.0, 6.0), (12.0, 3.0, 6.0)):
            loop = Loop(spread, Plan("plan", rate=rate, burst=burst, over_quota_cost=1.0))
            for number in range(names):
                loop.customer(f"{number:016x}", asks, list(range(spread)))
            loop.play(15)
            parts: list[float] = []
            for seconds, up in ((15, True), (15, False), (45, False), (15, True)):
                if up and not loop.counter_up:
                    untold = sum(c.unsaid for g in loop.gateways for c in g.customers.values())
                    parts.append(untold / burst / names)
                before, loop.counter_up = loop.seen["sent"], up
                loop.play(seconds)
                parts.append((loop.seen["sent"] - before) / (rate * seconds * names))
            row(spread, asks, rate, burst, *parts)


COMMANDS = {f.__name__: f for f in (customers, marks, pick, entry, counter, starts, cut)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=COMMANDS)
    COMMANDS[parser.parse_args().what]()


if __name__ == "__main__":
    main()
