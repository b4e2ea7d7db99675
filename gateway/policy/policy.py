"""Every decision of one gateway. Its settings, events and actions: see gateway/policy/events.py.

A gateway knows its settings, its seed, the `now` it is handed and its own events; nothing else.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .actions import (
    Actions,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .events import (
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
from .settings import DeduplicationScope, Idempotency, Plan, RequestClass, SafetyRules, Settings
from .shared_bucket import MEMORY_MS, SharedTokenBucket
from .subsetting import EndpointSubset
from .timers import TimerKind, TimerToken

LEASE_MS = 15_000.0  # the design's lease
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
LEAST_UNIT = 0.01  # of a unit: less is rounding
SPARSE = 1.5  # of the largest requests: an even part of the burst under this is too thin to spend locally
WANTS_MS = 3_000.0  # memory of the wants
TIGHT = 2.0  # times that an empty bucket takes to fill: so long a customer met at its end is asked for last
SURGE = 5.0  # a shared reading stands until so many quotas asked at once could spend what is left
ASTRAY = 0.5  # of the burst: a shared number that tells of more than a full or an empty bucket is put right
LIKELY, DOUBTFUL, CHEAP = 0.2, 4.0, 6.0  # powers of a crowded counter's room: how calls give way by worth
ROOM_STEP, ROOM_CUT, ROOM_LEAST = 0.005, 0.9, 0.1  # how refreshes thin out as calls fail, and come back
FOR_OTHERS = 2.0  # parts of a burst: no more of it is told at once for others, which would be noise
END_MS = 50.0  # a request is ended this long before it expires; small beside any aim
TYPICAL_OVER = 40.0  # answers that the typical latency is the mean of
RECENT, SLOW, BAD = 0.12, 0.15, 0.3  # weight of one answer in the recent latency and a backend's two marks
MARK_MS, MARK_MEETINGS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
ERROR_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy peer
CHANCE = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
SCORED, DRAWN = 64, 32  # the largest slice that each attempt weighs whole; what is drawn of a larger one
KEPT = 512  # backends beyond the slice that what was seen of them is kept for
RETRY_SHARE, RETRY_CALM, RETRY_STORE = 0.15, 0.6, 10.0  # extra attempts earned a request; when calm; the most
PATIENCE = 0.4  # of the aim: how long to wait before anything is known
LONGEST, SHORTEST = 9.0, 2.0  # typical latencies: the most a sample counts for; a bad backend's patience
SHED_AT, SHED_BAND, SHED_SPAN = 0.6, 0.5, 0.25  # of the aim: refusals begin; to all; earlier for low worth
FLOOR_OUT, LEAST_OUT = 3.0, 2.0  # always allowed out: a backend over all gateways; too few to tell anything
ENOUGH_OUT = 9.0  # that many out, and their rate, are known to a third: under it a count alone proves nothing
RATE_MS = 800.0  # memory of the rate of answers: steady, yet quick to follow a shift
CALM = 0.1  # of the aim: latency under which capacity counts as clearly spare
NEVER_RAN = {Outcome.QUEUE_FULL, Outcome.CONNECT_ERROR, Outcome.NOT_STARTED}
CALLED_OFF = {Outcome.TIMED_OUT, Outcome.CANCELLED}


class Customer:
    """One customer at this gateway: its lease and its local buckets."""

    def __init__(self, key: str, plan: Plan, spread: int, now: float, since: float, unit: float) -> None:
        self.key, self.plan, self.even = key, plan, 1 / max(1, spread)  # even: a gateway's even share
        self.tokens, self.filled_at, self.out = max(unit, plan.burst * self.even), now, 0
        # Danger: a restarted gateway does not know what it sent before. Counted as empty at its start, its
        # part of the ceiling can never be spent twice.
        self.ceiling = (now - since) / 1000 * plan.hard_limit_rate * self.even
        self.keep_ms = max(LEASE_MS, plan.hard_limit_burst / max(plan.hard_limit_rate, 1e-9) * 1000)
        sparse = plan.burst * self.even < SPARSE * unit and plan.rate > 0
        self.bucket = SharedTokenBucket.of(key, plan.rate, plan.burst) if sparse else None
        full_again = plan.burst / max(plan.rate, 1e-9) * 1000
        self.period_ms = min(LEASE_MS, max(REFRESH_MS, full_again))  # an empty burst is full again after it
        self.part = self.even  # the lease: of quota and burst
        self.lease_end, self.fresh_until = now + LEASE_MS, now
        self.unsaid, self.mine, self.all = 0.0, 0.0, 0.0  # units not yet added; lately added, here and by all
        self.empty_until = self.tight_until = now  # of a shared bucket, as last read
        self.telling = False  # a timer will tell what is unsaid
        self.period, self.reading, self.read_at = -1, 0.0, now  # the last reading


class Backend:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: Endpoint, rules: SafetyRules) -> None:
        self.id, self.out, self.started_at, self.rules = entry.backend_id, 0, -1.0, rules
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        if entry.started_at != self.started_at:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
        self.zone, self.cell, self.started_at = entry.zone, entry.cell, entry.started_at

    def warmth(self, now: float) -> float:
        """The least part of its capacity that it surely has."""
        age = (now - self.started_at) / max(1.0, self.rules.slow_start_ms) if self.started_at > 0 else 1.0
        return min(1.0, self.rules.initial_capacity + (1 - self.rules.initial_capacity) * age)


class Request:
    """One request that is owed a final answer."""

    def __init__(self, event: RequestArrived, kind: RequestClass, c: Customer, now: float) -> None:
        self.id, self.kind, self.customer, self.cost = event.request_id, kind, c, event.cost
        self.deadline, self.aim_at = event.deadline, min(event.deadline, now + kind.latency_objective_ms)
        self.attempts, self.check_at = 0, math.inf
        self.marks = "all", "class " + kind.name, "plan " + c.plan.name  # of a backend that this one bears on
        self.live: set[int] = set()  # numbers of the attempts out
        self.tried: set[int] = set()
        self.ran: list[Attempt] = []  # attempts that may have run or are out, the earliest first
        self.is_retry, self.said = event.is_retry, 0.0  # said: units of it that the counter was told already
        self.short: float | None = None  # units that the bucket lacks for it, where the lease does not tell


class Attempt(NamedTuple):  # of a request at a backend
    request: Request
    backend: Backend
    sent_at: float


class Call(NamedTuple):  # of the counter
    customer: str
    period: int
    amount: float
    request: str  # that waits for the reply; "" if none does
    last: bool  # whether it reads the period before, for what that left owed
    expected: float  # the total, if nobody else put the number right meanwhile; 0: it puts nothing right


class GatewayPolicy:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.request_classes = {c.name: c for c in settings.request_classes}
        self.plans = {p.name: p for p in settings.plans}
        self.top_importance = max((c.priority_weight for c in settings.request_classes), default=1.0)
        self.customers: dict[str, Customer] = {}
        self.calls: dict[str, deque[Call]] = {}  # by the counter's name, the oldest first
        self.backends: dict[int, Backend] = {}  # those of the slice, and others that were sent to
        in_cells = any(
            c.idempotency is Idempotency.WITH_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in settings.request_classes
        )
        self.members = EndpointSubset(settings.gateway_index, settings.gateway_count, self.use, in_cells)
        self.ordering = False  # a timer will go on with the order of the members
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, the oldest first
        self.created = -1.0  # the time of the first event
        self.typical, self.recent, self.recent_at = 0.0, 0.0, 0.0  # mean latency of the answers, and lately
        self.samples, self.rate, self.answered_at = 0.0, 0.0, 0.0  # answers; a second
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.late_room = 1.0  # likewise of all calls, where it answers too late
        self.retries, self.tidied_at, self.floor = RETRY_STORE, 0.0, 0.0
        self.handlers: dict[type, Callable[[float, Any, Actions], object]] = {
            RequestArrived: self.on_request,
            AttemptEnded: self.on_ended,
            TimerFired: self.on_timer,
            CounterResponse: self.on_counted,
            EndpointUpdate: self.on_list,
            ClientDisconnected: self.on_lapsed,
        }  # peers' messages and begun answers change no decision

    def handle(self, now: float, event: Event) -> Actions:
        out: Actions = []
        if self.created < 0:
            self.created = self.tidied_at = self.answered_at = now
            if self.settings.polls_endpoints:
                out.append(WatchEndpoints())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        return out

    # ---- leases and buckets ----

    def fill(self, now: float, c: Customer) -> None:
        if now > c.lease_end:
            c.part = c.even  # a lease unheard: the safe capacity is the even share
        passed, c.filled_at = (now - c.filled_at) / 1000, now
        most = max(self.settings.max_request_cost, c.plan.burst * c.part)
        c.tokens = min(most, c.tokens + passed * c.plan.rate * c.part)
        c.ceiling = min(
            c.plan.hard_limit_burst * c.even, c.ceiling + passed * c.plan.hard_limit_rate * c.even
        )

    def refresh(self, now: float, request: Request, out: Actions) -> None:
        """Add the units asked since the last call, refused ones too, and so learn of all that were asked."""
        c = request.customer
        c.unsaid += request.cost
        if now < c.fresh_until or not self.settings.counter_available or not c.plan.rate:
            return
        said, c.unsaid = c.unsaid / self.counter_room, 0.0
        if self.random.random() > self.counter_room:
            return  # crowded: those that do add, add for this one too, so that totals stay true
        c.fresh_until, period = now + REFRESH_MS, int(now // c.period_ms)
        self.count(c, period, said, out)

    def ask(self, now: float, request: Request, bucket: SharedTokenBucket, out: Actions) -> bool:
        """Read the shared bucket for a request that needs it and waits for the reply (true).

        Spread over so many gateways, a local bucket would be empty, or full of units that each of the others
        holds too. The call spends the units at once, and a refusal gives them back: two gateways that ask
        together don't both get the last unit. Where a refusal is likely, the call only reads.

        Danger: a crowded counter has no room for all, and a customer far past its quota asks most. Where
        being wrong costs nothing the lease decides unread; what is likely refused is refused unread, and the
        bucket fills for the few that do ask. Little is left to ask for whom nobody knows anything against.
        """
        c = request.customer
        if now < c.empty_until or (now < c.fresh_until and c.tokens >= request.cost):
            return False  # no other gateway can have filled it, or spent all of it, since it was read
        doubtful, cheap = (
            now < c.tight_until or request.is_retry,
            c.plan.over_quota_cost <= c.plan.over_quota_revenue,
        )
        if not self.has_room(CHEAP if cheap else DOUBTFUL if doubtful else LIKELY):
            if cheap and now >= c.tight_until:
                request.short = 0.0
            elif doubtful and not cheap:
                request.short = request.cost
            return False
        request.said = 0.0 if doubtful else request.cost
        self.count(c, bucket.period(now), c.unsaid + request.said, out, request.id)
        c.unsaid = 0.0
        self.watch(now, request, now + 2 * self.settings.counter_timeout_ms, out)
        return True

    def count(
        self,
        c: Customer,
        period: int,
        amount: float,
        out: Actions,
        request: str = "",
        last: bool = False,
        expected: float = 0.0,
    ) -> None:
        call = Call(c.key, period, round(amount, 3), request, last, expected)
        if c.bucket:
            name, memory = c.bucket.name(period), MEMORY_MS
        else:
            digest = hashlib.blake2b(c.key.encode(), digest_size=16).hexdigest()  # keys may be long
            name, memory = f"{period}:{digest}", 4 * c.period_ms
        self.calls.setdefault(name, deque()).append(call)
        out.append(IncrementCounter(name, call.amount, memory))

    def has_room(self, eagerness: float) -> bool:
        """Whether a crowded counter is to be called even so."""
        return self.random.random() <= math.pow(self.counter_room, eagerness) * self.late_room

    def tell(self, now: float, c: Customer, bucket: SharedTokenBucket, out: Actions) -> None:
        """Add what was spent without being said, or take off what was said and not spent.

        A crowded counter is told by some for the others too: the number stays true on the whole, and there is
        more room for those that ask.
        """
        said, c.unsaid = c.unsaid, 0.0
        part = max(self.counter_room * self.late_room, min(1.0, FOR_OTHERS / max(bucket.burst, FOR_OTHERS)))
        if abs(said) >= LEAST_UNIT and self.random.random() <= part:
            self.count(c, bucket.period(now), said / part, out)

    def tell_later(self, c: Customer, out: Actions) -> None:
        """Tell with the next call, or by a timer if none comes."""
        if c.bucket and abs(c.unsaid) >= LEAST_UNIT and self.settings.counter_available and not c.telling:
            c.telling = True
            out.append(SetTimer(REFRESH_MS, TimerToken(TimerKind.USAGE_REPORT, c.key)))

    def on_counted(self, now: float, event: CounterResponse, out: Actions) -> None:
        waiting = self.calls.get(event.name)
        if not waiting:
            return
        call = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        # Danger: a crowded counter fails everybody's calls, and their number keeps it crowded.
        ok, room = event.outcome is Outcome.OK, self.counter_room
        self.counter_room = min(1.0, room + ROOM_STEP) if ok else max(ROOM_LEAST, room * ROOM_CUT)
        if event.outcome is Outcome.TIMED_OUT:
            self.late_room = max(ROOM_LEAST, self.late_room * ROOM_CUT)
        elif ok:
            self.late_room = min(1.0, self.late_room + ROOM_STEP)
        c, request = self.customers.get(call.customer), self.requests.get(call.request)
        if request and (request.attempts or not c):
            request = None  # it waited long enough, and went
        if c and not ok and event.outcome in NEVER_RAN:
            c.unsaid += call.amount
            if request:
                c.unsaid -= request.said
                request.said = 0.0
        if c and c.bucket:
            if ok and call.expected and (event.total - call.expected) / call.amount > ASTRAY:
                self.count(c, call.period, -call.amount, out)  # another gateway has put it right, too
            elif ok and request:
                self.read(now, request, c.bucket, call, event.total, out)
            elif request:
                self.admit(now, request, out)
        elif c and ok:
            self.renew(now, c, call.period, call.amount, event.total, out)

    def read(
        self, now: float, request: Request, bucket: SharedTokenBucket, call: Call, total: float, out: Actions
    ) -> None:
        """Take the shared bucket's level for the lease, and admit the request that waited for it."""
        c, units, period = request.customer, request.cost, call.period + call.last
        if call.last:
            if (owed := bucket.owed(total)) > 0:
                self.count(c, period, owed, out)
            total = owed + request.said
        elif total <= call.amount + LEAST_UNIT and self.random.random() <= self.counter_room:
            return self.count(c, period - 1, 0.0, out, request.id, last=True)  # the first call of a period
        same, before, c.period, c.reading = period == c.period, c.reading, period, total
        c.lease_end = now + LEASE_MS
        # Danger: a counter that lost its numbers looks as if nobody had spent anything; the old level stands.
        if not same or total > before - max(bucket.burst, units):
            told = bucket.level(now, period, total - request.said)
            level = max(0.0, min(told, bucket.burst))
            if abs(told - level) > ASTRAY * bucket.burst and self.random.random() <= self.counter_room:
                self.count(c, period, told - level, out, expected=total + told - level)
            c.tokens, c.part = level, max(c.even, level / max(bucket.burst, 1e-9))
            c.empty_until = now + bucket.wait(units - level)
            if level < units:
                c.tight_until = c.empty_until + TIGHT * bucket.wait(bucket.burst)
            c.fresh_until = now + bucket.wait(level - units) / SURGE
        self.admit(now, request, out)
        self.tell(now, c, bucket, out)

    def renew(self, now: float, c: Customer, period: int, amount: float, total: float, out: Actions) -> None:
        """Size a lease that is spent locally.

        A period's number holds what was asked in it, and what the last period owed.
        Who adds first reads the last number and carries over the burst that time has not paid back. A local
        bucket holds this gateway's share of what is left.
        """
        rate, burst = c.plan.rate, c.plan.burst
        if amount and total <= amount + 0.01 and self.random.random() <= self.counter_room:
            return self.count(c, period - 1, 0.0, out)
        if not amount:
            period, owed = period + 1, min(burst, total - rate * c.period_ms / 1000)
            if owed > 0:
                return self.count(c, period, owed, out)
            total = 0.0
        fade, c.lease_end = math.exp((c.read_at - now) / WANTS_MS), now + LEASE_MS
        before, same, c.period, c.reading, c.read_at = c.reading, period == c.period, period, total, now
        if same and total < before - 0.01:
            # Danger: the counter lost its numbers; it would look as if nobody had asked for anything.
            return
        if same:
            c.mine, c.all = c.mine * fade + amount, c.all * fade + max(amount, total - before)
        paid, over = max(0.0, rate * (now - period * c.period_ms) / 1000), total - burst  # 0: rounding
        load = min(1.0, c.all * 1000 / WANTS_MS / rate)
        c.part = 1 - (1 - min(1.0, c.mine / c.all)) * load if c.all else c.even
        c.tokens = max(c.tokens, (paid - over) * c.part)
        c.fresh_until = now + max(REFRESH_MS, (paid - over) / (SURGE * rate) * 1000)

    # ---- admission ----

    def on_request(self, now: float, event: RequestArrived, out: Actions) -> None:
        if now - self.tidied_at > LEASE_MS:  # forget idle customers
            kept = {k: c for k, c in self.customers.items() if c.out or now - c.filled_at <= c.keep_ms}
            self.customers, self.tidied_at = kept, now
        left, c = event.deadline - now, self.customers.get(event.customer)
        kind = self.request_classes.get(event.request_class) or RequestClass(event.request_class, left, left)
        if c is None:
            plan = self.plans.get(event.plan) or Plan(event.plan)  # an unknown plan has no quota to keep
            c = Customer(
                event.customer,
                plan,
                event.gateway_set_size,
                now,
                self.created,
                self.settings.max_request_cost,
            )
            self.customers[event.customer] = c
        self.fill(now, c)
        request = self.requests[event.request_id] = Request(event, kind, c, now)
        if c.bucket is None:
            self.refresh(now, request, out)
        elif self.settings.counter_available and self.ask(now, request, c.bucket, out):
            return
        self.admit(now, request, out)

    def admit(self, now: float, request: Request, out: Actions) -> None:
        """Send the request on if the lease, the guards and the backends let it, else refuse it."""
        c, kind, plan, units = request.customer, request.kind, request.customer.plan, request.cost
        short = units - c.tokens if plan.rate else 0.0
        if request.short is not None:
            short = request.short
        crowded = bool(plan.concurrency_limit) and c.out + 1 > max(1.0, plan.concurrency_limit * c.part)
        strain = (expected := self.time_to_answer(now)) / max(kind.latency_objective_ms, 1.0)
        self.retries = min(RETRY_STORE, self.retries + (RETRY_CALM if strain < CALM else RETRY_SHARE))
        spare = strain < CALM and plan.over_quota_revenue > plan.over_quota_cost
        over_ceiling = bool(plan.hard_limit_rate) and c.ceiling < units
        beyond = over_ceiling or ((short > 0 or crowded) and not spare)
        # Refuse early what would be answered too late; a class worth more holds out longer.
        lesser = 1 - kind.priority_weight / self.top_importance if self.top_importance else 0.0
        band = SHED_BAND * self.random.random() if self.floor < LEAST_OUT else 0.0
        too_late = strain > SHED_AT * (1 - SHED_SPAN * lesser) + band or now + expected > request.aim_at
        backend = None if beyond or too_late else self.pick(now, request)
        if backend is None:
            wait = short * 1000 / max(plan.rate * c.part, 1e-9) if short > 0 else 0.0
            if c.bucket and short > 0:  # all that are refused now would come back for the same unit
                wait = c.bucket.wait(short + units * self.random.random())
            return self.finish(request, out, wait)
        if c.bucket:
            spent = units if short <= 0 else 0.0
            c.unsaid, request.said = c.unsaid + spent - request.said, spent
            self.tell_later(c, out)
        c.tokens, c.ceiling = c.tokens - (units if 0 < units <= c.tokens else 0.0), c.ceiling - units
        self.send(now, request, backend, out)

    def on_lapsed(self, now: float, event: ClientDisconnected, out: Actions) -> None:
        if request := self.requests.pop(event.request_id, None):
            self.give_back(request, out)

    def give_back(self, request: Request, out: Actions) -> None:
        """Take back what was said of a request that ends without having been sent on."""
        if request.said and not request.attempts:
            request.customer.unsaid, request.said = request.customer.unsaid - request.said, 0.0
            self.tell_later(request.customer, out)

    def time_to_answer(self, now: float) -> float:
        """What is out over the rate of answers: how long one more request should take (Little's law).

        Danger: judged by the latency of answers, overload and its end are seen a whole queue too late. What
        is out is known at once. It covers floods, slow backends and lost capacity; it could refuse too much
        where traffic multiplies in a second. Where one gateway's few tell nothing, recent latency decides.

        Danger: among a handful out chance alone doubles this ratio, refusals lower the rate and so raise it
        again, and every gateway of a large fleet refuses though no backend is busy. A handful out must be
        borne out by the latency, which those that are out and late count for as well.
        """
        answer, waiting = max(1.0, self.recent * math.exp((self.recent_at - now) / MARK_MS)), 1
        for attempt in self.attempts.values():
            age = now - attempt.sent_at
            if age < max(LONGEST * max(self.typical, self.recent), 1.0):  # lost ones don't wait in any queue
                answer, waiting = answer * max(1.0, age / answer) ** RECENT, waiting + 1
        if self.floor < LEAST_OUT or waiting <= self.floor:
            return answer * max(1.0, waiting / LEAST_OUT) ** 2 if self.floor < LEAST_OUT else 0.0
        queued = waiting * 1000 / max(self.rate * math.exp((self.answered_at - now) / RATE_MS), 1e-9)
        return queued if waiting > ENOUGH_OUT else min(queued, answer)

    # ---- backend choice and health ----

    def on_list(self, now: float, event: EndpointUpdate, out: Actions) -> None:
        if event.kind is UpdateKind.WATCH_FAILED:  # the old list stays
            return out.append(
                SetTimer(self.settings.safety_rules.drain_grace_ms, TimerToken(TimerKind.WATCH_ENDPOINTS))
            )
        self.members.apply(event)
        for entry in event.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.backends.pop(entry.backend_id, None)
            elif b := self.backends.get(entry.backend_id):
                b.update(entry)
        if event.kind is not UpdateKind.DELTA and event.is_last:
            self.backends = {i: b for i, b in self.backends.items() if i in self.members}
        self.floor = FLOOR_OUT * len(self.members) / max(1, self.settings.gateway_count)
        self.order_on(out)

    def order_on(self, out: Actions) -> None:
        """Let what waits have its turn before the next step of a long list's order."""
        if self.members.is_rebuilding and not self.ordering:
            self.ordering = True
            out.append(SetTimer(0.0, TimerToken(TimerKind.BUILD_ORDER)))

    @property
    def subset(self) -> list[Backend]:
        """The backends that this gateway uses."""
        return self.members.backends

    def use(self, entry: Endpoint) -> Backend:
        b = self.backends.get(entry.backend_id)
        if b is None:
            if len(self.backends) > len(self.subset) + KEPT:
                kept = set(self.members.backend_ids)
                self.backends = {i: b for i, b in self.backends.items() if b.out or i in kept}
            b = self.backends[entry.backend_id] = Backend(entry, self.settings.safety_rules)
        return b

    def mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded; a backend that is met seldom is remembered longer."""
        level, at = b.marks.get(name, (0.0, now))
        gap = len(self.subset) * 1000 / max(self.rate, 0.1)
        return level * math.exp((at - now) / max(MARK_MS, min(LEASE_MS, MARK_MEETINGS * gap)))

    def failing(self, now: float, b: Backend, request: Request) -> float:
        """How likely it fails this request: one class or plan may fare ill where the others are served."""
        if (of_all := self.mark(now, b, "all")) < 0.01:
            return 0.0
        of_class, of_plan = (self.mark(now, b, name) for name in request.marks[1:])
        return min(1.0, of_class * of_plan / of_all)

    def cost(self, now: float, b: Backend, request: Request) -> float:
        """What an answer from this backend should take, judged by answers, failures and silence alike."""
        latency = max(1.0, self.typical + self.mark(now, b, "slow"))
        return latency * (1 + ERROR_COST * self.failing(now, b, request)) * (b.out + 1)

    def pick(self, now: float, request: Request) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        Danger: sent more than it can do by all gateways together, a cold backend falls over. Each gateway
        gives it an even part of its own requests times less than the least it can do, so that the sum over
        all gateways stays under that part of a warm one's load; twice, as one long request is much of it.
        What may have run already comes of many gateways at once, where many are slow: that goes to warm ones.
        """
        few = self.subset if len(self.subset) <= SCORED else self.random.sample(self.subset, DRAWN)
        may = [b for b in few if self.may_go(now, request, b)]
        may = may or self.others(now, request)
        warm = [b for b in may if b.warmth(now) >= 1]
        if len(warm) < len(may) and not (request.ran and warm):
            b = self.random.choice(may)
            part = b.warmth(now) * min(1.0, b.warmth(now) * self.settings.safety_rules.overload_multiple / 2)
            if b.warmth(now) < 1 and self.random.random() < part and self.failing(now, b, request) < 0.5:
                return b
        costs = [self.cost(now, b, request) * self.random.expovariate(1.0) ** CHANCE for b in warm]
        return warm[costs.index(min(costs))] if warm else None

    def others(self, now: float, request: Request) -> list[Backend]:
        """BackendPool beyond the slice, for what none of the slice may serve."""
        kind, cell = request.kind, None
        if (
            request.ran
            and kind.idempotency is Idempotency.WITH_KEY
            and kind.deduplication_scope is DeduplicationScope.CELL
        ):
            cell = request.ran[0].backend.zone, request.ran[0].backend.cell
        elif request.ran and kind.idempotency is Idempotency.UNSAFE:
            return []
        found = self.members.sample_outside(self.random, cell)
        others = [self.backends.get(e.backend_id) or Backend(e, self.settings.safety_rules) for e in found]
        return [b for b in others if self.may_go(now, request, b)]

    # ---- attempts and retries ----

    def send(self, now: float, request: Request, b: Backend, out: Actions) -> None:
        self.backends.setdefault(b.id, b)
        b.out += 1
        request.customer.out += 1
        latest = self.repeat_until(request)
        attempt = self.attempts[request.id, request.attempts] = Attempt(request, b, now)
        request.live.add(request.attempts)
        request.ran.append(attempt)
        request.tried.add(b.id)
        request.attempts += 1
        out.append(StartAttempt(request.id, b.id, start_before=latest))
        self.watch(now, request, now + self.patience(now, attempt), out)

    def patience(self, now: float, attempt: Attempt) -> float:
        """How long an answer may take before the attempt counts as lost."""
        failing = self.failing(now, attempt.backend, attempt.request)
        times = max(SHORTEST, LONGEST / (1 + ERROR_COST * failing))
        return times * self.typical if self.typical else PATIENCE * attempt.request.kind.latency_objective_ms

    def watch(self, now: float, request: Request, at: float, out: Actions) -> None:
        request.check_at = min(at, request.deadline - END_MS)
        out.append(SetTimer(max(0.0, request.check_at - now), TimerToken(TimerKind.REQUEST, request.id)))

    def on_timer(self, now: float, event: TimerFired, out: Actions) -> None:
        if event.token.kind is TimerKind.WATCH_ENDPOINTS:
            out.append(WatchEndpoints())
        if event.token.kind is TimerKind.BUILD_ORDER:
            self.ordering = False
            self.members.continue_rebuild()
            self.order_on(out)
            return
        if (
            event.token.kind is TimerKind.USAGE_REPORT
            and (c := self.customers.get(event.token.subject))
            and c.bucket
        ):
            c.telling = False
            if c.plan.over_quota_cost > c.plan.over_quota_revenue or self.has_room(CHEAP):
                self.tell(now, c, c.bucket, out)
            return
        request = self.requests.get(event.token.subject) if event.token.kind is TimerKind.REQUEST else None
        if request is None or now < request.check_at - 1:
            return
        if now >= request.deadline - END_MS - 1:
            return self.finish(request, out)  # every request held ends here at the latest
        if not request.attempts:
            return self.admit(now, request, out)  # the counter is silent
        self.watch(now, request, math.inf, out)
        # An attempt out far longer than usual is doubled, or called off and its outcome brings the next.
        if len(request.live) == 1 and request.kind.idempotency is not Idempotency.UNSAFE:
            if self.settings.hedging_allowed:
                self.another(now, request, out, price=1.0)
            elif self.retries >= 1 and self.in_time(now, request) and self.pick(now, request):
                self.cancel_all(request, out)

    def on_ended(self, now: float, event: AttemptEnded, out: Actions) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        request, never_ran = attempt.request, event.outcome in NEVER_RAN
        attempt.backend.out -= 1
        request.customer.out -= 1
        request.live.remove(event.attempt_number)
        self.judge(now, attempt, event.outcome)
        if never_ran:
            request.ran.remove(attempt)
        if event.request_id not in self.requests:
            return
        if event.request_finished or event.outcome is Outcome.OK:
            del self.requests[request.id]
            self.cancel_all(request, out)
        elif not request.live and not self.another(now, request, out, price=0.0 if never_ran else 1.0):
            self.finish(request, out)

    def judge(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        b, lag, ok = attempt.backend, max(1.0, now - attempt.sent_at), outcome is Outcome.OK
        slow, overdue = self.mark(now, b, "slow"), lag >= self.patience(now, attempt)
        # Danger: one attempt lost on the way would look like a backend slow beyond use.
        capped = min(lag, LONGEST * self.typical) if self.typical else lag
        if ok or (outcome in CALLED_OFF and capped > self.typical + slow):  # it took longer yet
            b.marks["slow"] = (slow + (capped - (self.typical or lag) - slow) * SLOW, now)
        if ok or (outcome in CALLED_OFF and lag > self.recent):
            # Danger: old answers outweigh few new ones, and refusals stay. Of logarithms, as few are long.
            weight = max(RECENT, 1 - math.exp((self.recent_at - now) / MARK_MS))
            self.recent, self.recent_at = (self.recent or lag) * (lag / (self.recent or lag)) ** weight, now
        if ok:
            self.samples = min(TYPICAL_OVER, self.samples + 1)
            self.typical += (capped - self.typical) / self.samples
            self.rate = self.rate * math.exp((self.answered_at - now) / RATE_MS) + 1000 / RATE_MS
            self.answered_at = now
        if outcome not in CALLED_OFF or overdue:  # a client that left early says nothing of the backend
            for name in attempt.request.marks:
                level, bad = self.mark(now, b, name), not ok and outcome is not Outcome.NOT_STARTED
                b.marks[name] = (level + (bad - level) * BAD, now)

    def in_time(self, now: float, request: Request) -> bool:
        return now + self.typical < request.aim_at and request.attempts < self.settings.max_attempts

    def another(self, now: float, request: Request, out: Actions, price: float) -> bool:
        """Send a further attempt if one can be in time and in the budget; what never ran is not charged."""
        backend = self.pick(now, request) if self.retries >= price and self.in_time(now, request) else None
        if backend:
            self.retries -= price
            self.send(now, request, backend, out)
        return backend is not None

    # ---- rule guards ----

    def finish(self, request: Request, out: Actions, wait: float = 0.0) -> None:
        """The one final answer: a refusal only where a new try is known to do no harm, else a failure.

        A refusal says when to come again; where no quota tells, once what went wrong may be over.
        """
        del self.requests[request.id]
        self.give_back(request, out)
        keyed_by_all = (
            request.kind.idempotency is Idempotency.WITH_KEY
            and request.kind.deduplication_scope is DeduplicationScope.ALL
        )
        harmless = not request.ran or request.kind.idempotency is Idempotency.IDEMPOTENT or keyed_by_all
        wait = wait or request.kind.latency_objective_ms * PATIENCE
        refusal = Reject(request.id, min(wait, self.settings.max_retry_after_ms))
        out.append(refusal if harmless else Fail(request.id))
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: Actions) -> None:
        out.extend(
            CancelAttempt(request.id, number)
            for number in request.live
            if self.settings.cancellation_supported
        )

    def repeat_until(self, request: Request) -> float:
        """When a further attempt must have begun, so that backends still drop it if the first has run."""
        if request.kind.idempotency is not Idempotency.WITH_KEY or not request.ran:
            return math.inf
        return request.ran[0].sent_at + request.kind.deduplication_window_ms - END_MS

    def may_go(self, now: float, request: Request, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        kind = request.kind
        if b.id in request.tried or not request.ran or kind.idempotency is Idempotency.IDEMPOTENT:
            return b.id not in request.tried
        # Danger: an effect happening twice. Unsafe work is never sent again once it may have run, keyed work
        # only inside the group that drops the repeat, and a little before that group forgets.
        if kind.idempotency is Idempotency.UNSAFE or now >= self.repeat_until(request):
            return False
        first = request.ran[0].backend
        same_zone = first.zone == b.zone and (
            kind.deduplication_scope is not DeduplicationScope.CELL or first.cell == b.cell
        )
        return kind.deduplication_scope is DeduplicationScope.ALL or same_zone
