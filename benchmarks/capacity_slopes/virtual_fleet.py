"""Gateways in virtual time, with their counter, and with backends that always succeed.

Every counter call gets a response: a connection error while `VirtualFleet.is_counter_up` is false, else the
total.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from gateway.policy.actions import IncrementCounter, SetTimer, StartAttempt
from gateway.policy.events import CounterResponse, Event, Outcome, TimerFired

from .policies import SERVICE_TIME_MS, START_MS, arrival_event, make_policy, make_settings, success_event

COUNTER_ONE_WAY_LATENCY_MS = 1.0
"""Network latency between a gateway and the counter, in each direction."""

BACKENDS = 8


class VirtualFleet:
    """Gateways, their customers and their counter, driven by one queue of timed callbacks."""

    def __init__(self, gateways: int, plan: dict[str, Any], seed: int = 1) -> None:
        """`plan` is the plan of all customers, as an entry of the settings document."""
        self.now = START_MS
        self.is_counter_up = True
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._plan_name = str(plan["name"])
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._last_serial = 0
        self._totals: dict[str, float] = {}
        self.policies = [
            make_policy(
                make_settings(plan, index=index, gateways=gateways, counter_available=True),
                backends=BACKENDS,
                seed=seed + index,
            )
            for index in range(gateways)
        ]

    def run(self, seconds: float) -> None:
        """Advance the virtual time by `seconds`, and run all callbacks that are due by then."""
        end = self.now + seconds * 1000
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def add_customer(self, name: str, rate: float, gateways: list[int]) -> None:
        """Add a customer that sends requests from now on, each to a random one of `gateways`.

        The intervals are random; `rate` is the average number of requests per second.
        """
        send = partial(self._send_request, name, rate, gateways)
        self._call_later(self._rng.expovariate(rate) * 1000, send)

    def _send_request(self, customer: str, rate: float, gateways: list[int]) -> None:
        send_next = partial(self._send_request, customer, rate, gateways)
        self._call_later(self._rng.expovariate(rate) * 1000, send_next)
        self._last_serial += 1
        self.counts["requests"] += 1
        event = arrival_event(
            self.now,
            request_id=f"{self._last_serial:016x}",
            plan=self._plan_name,
            customer=customer,
            gateway_set_size=len(gateways),
            gateway_set_start=gateways[0],
        )
        self._deliver(self._rng.choice(gateways), event)

    def _call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._last_serial += 1
        heapq.heappush(self._queue, (self.now + delay_ms, self._last_serial, callback))

    def _deliver(self, index: int, event: Event) -> None:
        for action in self.policies[index].handle(self.now, event):
            match action:
                case SetTimer(delay_ms, token):
                    self._call_later(delay_ms, partial(self._deliver, index, TimerFired(token)))
                case IncrementCounter(name, amount, expire_in_ms):
                    reply = self._increment(name, amount, expire_in_ms)
                    self._call_later(2 * COUNTER_ONE_WAY_LATENCY_MS, partial(self._deliver, index, reply))
                case StartAttempt(request_id, backend_id):
                    self.counts["forwarded"] += 1
                    ended = success_event(backend_id, request_id=request_id)
                    self._call_later(SERVICE_TIME_MS, partial(self._deliver, index, ended))

    def _increment(self, name: str, amount: float, expire_in_ms: float) -> CounterResponse:
        self.counts["counter calls"] += 1
        if not self.is_counter_up:
            return CounterResponse(name, Outcome.CONNECT_ERROR, 0.0)
        total = self._totals[name] = self._totals.get(name, 0.0) + amount
        call = f"tally {name} {amount:.6f} {int(expire_in_ms)}\r\n"
        reply = f"ok {total:.7g}\r\n"
        self.counts["counter bytes"] += len(call) + len(reply)
        return CounterResponse(name, Outcome.OK, total)
