"""Scenario `entry`: a listed backend on the wire, in the policy and in the pool, and one change of many."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import NamedTuple

from gateway.network.address import Address
from gateway.network.backends.pool import BackendPool
from gateway.network.codecs.json_stream import iterate_array
from gateway.network.discovery.delivery import ENDPOINTS_PER_TURN
from gateway.network.discovery.endpoint_list import parse_endpoints
from gateway.network.timers import TimerQueue
from gateway.policy.events import Endpoint, EndpointState, EndpointUpdate, TimerFired, UpdateKind
from gateway.policy.policy import GatewayPolicy
from gateway.policy.timers import TimerKind, TimerToken
from scale.fakes.discovery import encode_chunk
from scale.fakes.endpoint_list import encode_entry, encode_list, listed_backend

from .measurement import min_cpu_us, peak_mb, retained_bytes
from .policies import BACKENDS_PER_CELL, START_MS, make_endpoints, make_settings, snapshot
from .tables import print_header, print_row

FLEET_GATEWAYS = 3_700
LIST_SIZES = (1_000, 10_000, 39_000)
LIST_VERSION = 1_000_000
SLOW_RUNS = 3

CONNECT_TIMEOUT_MS = 250.0
KEEPALIVE_MS = 15_000.0
DRAIN_GRACE_MS = 500.0
MAX_CONNECTIONS = 256
MAX_REPLY_BYTES = 1 << 20


class PoolCost(NamedTuple):
    """What a list of backends costs the pool."""

    size: int
    sweep_us: float


def run() -> None:
    """Print a row for each length of the list."""
    change = encode_snapshot_or_change([encoded_backend(1_000, "draining")], is_snapshot=False)
    line_size = len(change) + 1
    chunk_size = len(encode_chunk(change))
    print(f"One change on the watch: {line_size} bytes, {chunk_size} with the chunk's frame;")
    print("an empty line that shows that the watch lives: 6 bytes with the chunk's frame, in each 2 s")
    print("The list of backends, by its length; 3,700 gateways")
    print_header(
        "listed",
        "bytes of a list",
        "bytes each",
        "ms to read it",
        "MB held meanwhile",
        "ms to take it",
        "bytes each in memory",
        "ms of one change",
        "ms of a sweep of the pool",
    )
    for count in LIST_SIZES:
        print_row(*measure(count))


def measure(count: int) -> tuple[object, ...]:
    """Return the row of a list of so many backends."""
    entries = [encoded_backend(number) for number in range(count)]
    text = encode_snapshot_or_change(entries, is_snapshot=True).decode()
    read_us = min_cpu_us(partial(read_list, text), SLOW_RUNS)
    read_peak_mb = peak_mb(partial(read_list, text))
    endpoints = make_endpoints(count)
    create_policy = partial(policy_with_list, endpoints)
    apply_us = min_cpu_us(create_policy, SLOW_RUNS)
    one_change = EndpointUpdate(UpdateKind.DELTA, make_endpoints(1, started_at=START_MS))
    change_us = min_cpu_us(partial(create_policy().handle, START_MS, one_change))
    pool = asyncio.run(measure_pool(endpoints))
    size = (retained_bytes(create_policy) + pool.size) // count
    return (
        count,
        len(text),
        len(text) // count,
        read_us / 1000,
        read_peak_mb,
        apply_us / 1000,
        size,
        change_us / 1000,
        pool.sweep_us / 1000,
    )


def encoded_backend(number: int, health: str = "up") -> bytes:
    """Return the entry of backend `number`, as it goes on the wire."""
    entry = listed_backend(
        f"s-{number:08x}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
        rack=number // BACKENDS_PER_CELL,
        health=health,
        born_ms=int(START_MS) + number,
    )
    return encode_entry(entry)


def encode_snapshot_or_change(entries: list[bytes], *, is_snapshot: bool) -> bytes:
    """Return a list's JSON line."""
    return encode_list(LIST_VERSION, entries, is_snapshot=is_snapshot)


def read_list(text: str) -> None:
    """Read a list as the endpoint watcher does, in parts."""
    for hosts in iterate_array(text, "hosts", ENDPOINTS_PER_TURN, {}):
        parse_endpoints(hosts)


def policy_with_list(endpoints: tuple[Endpoint, ...]) -> GatewayPolicy:
    """Return a policy that has applied a whole list; the order of a long one is built in steps."""
    policy = GatewayPolicy(make_settings(gateways=FLEET_GATEWAYS), 1)
    actions = policy.handle(START_MS, snapshot(endpoints))
    while actions:
        actions = policy.handle(START_MS, TimerFired(TimerToken(TimerKind.BUILD_ORDER)))
    return policy


async def measure_pool(endpoints: tuple[Endpoint, ...]) -> PoolCost:
    """Return the bytes that the pool keeps of the backends, and the time of its sweep of each second."""
    loop = asyncio.get_running_loop()
    pool = BackendPool(
        loop,
        TimerQueue(loop),
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        keepalive_ms=KEEPALIVE_MS,
        drain_grace_ms=DRAIN_GRACE_MS,
        max_connections=MAX_CONNECTIONS,
        max_buffered_bytes=MAX_REPLY_BYTES,
    )
    size = retained_bytes(partial(add_to_pool, pool, endpoints))
    sweep_us = min_cpu_us(pool.sweep)
    pool.close()
    return PoolCost(size, sweep_us)


def add_to_pool(pool: BackendPool, endpoints: tuple[Endpoint, ...]) -> list[None]:
    """Give the pool the addresses of all backends.

    The returned list counts as retained, with 8 bytes a backend: the figures of docs/CAPACITY.md include it.
    """
    ready = EndpointState.READY
    return [
        pool.update(  # type: ignore[func-returns-value]
            endpoint.backend_id, Address(f"10.0.{number >> 8}.{number & 255}", number), ready
        )
        for number, endpoint in enumerate(endpoints)
    ]
