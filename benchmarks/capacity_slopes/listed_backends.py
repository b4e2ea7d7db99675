"""Scenario `entry`: the cost of a listed backend on the wire, in the policy and in the pool.

The change of one backend is measured too.
"""

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
from scale.fakes.discovery import HEARTBEAT, HEARTBEAT_INTERVAL_S, encode_chunk
from scale.fakes.endpoint_list import encode_entry, encode_list, make_entry

from .measurement import min_cpu_us, peak_memory_mb, retained_bytes
from .policies import BACKENDS_PER_CELL, START_MS, make_endpoints, make_settings, snapshot_event
from .tables import print_header, print_row

FLEET_GATEWAYS = 3_700
LIST_SIZES = (1_000, 10_000, 39_000)
LIST_VERSION = 1_000_000
SLOW_WORK_RUNS = 3
"""Number of runs when the measured work takes long."""

CONNECT_TIMEOUT_MS = 250.0
KEEPALIVE_MS = 15_000.0
DRAIN_GRACE_MS = 500.0
MAX_CONNECTIONS = 256
MAX_REPLY_BYTES = 1 << 20


class PoolCost(NamedTuple):
    """Cost of an endpoint list in the pool: its memory, and the processor time of one sweep."""

    memory_bytes: int
    sweep_us: float


def run() -> None:
    """Print the size of a change, then a table with a row for each length of the list."""
    print_change_size()
    print(f"The endpoint list, by its length; {FLEET_GATEWAYS:,} gateways")
    print_header(
        "backends",
        "bytes of the list",
        "bytes per backend",
        "ms to parse the list",
        "peak MB while parsing",
        "ms to apply the list",
        "bytes per backend in memory",
        "ms to apply one change",
        "ms per sweep of the pool",
    )
    for count in LIST_SIZES:
        print_row(*measure_list(count))


def print_change_size() -> None:
    """Print the sizes on the watch, in bytes, of one backend's change and of a heartbeat."""
    change = encode_snapshot_or_delta([encode_backend(1_000, "draining")], is_snapshot=False)
    line_size = len(change) + 1
    chunk_size = len(encode_chunk(change))
    print(f"One change on the watch: {line_size} bytes, {chunk_size} with its chunk framing;")
    print(f"a heartbeat: {len(HEARTBEAT)} bytes with its chunk framing, every {HEARTBEAT_INTERVAL_S:g} s")


def measure_list(count: int) -> tuple[object, ...]:
    """Return the table row of a list of `count` backends."""
    entries = [encode_backend(number) for number in range(count)]
    list_json = encode_snapshot_or_delta(entries, is_snapshot=True).decode()
    parse_us = min_cpu_us(partial(parse_list, list_json), SLOW_WORK_RUNS)
    parse_peak_mb = peak_memory_mb(partial(parse_list, list_json))
    endpoints = make_endpoints(count)
    create_policy = partial(policy_with_list, endpoints)
    apply_us = min_cpu_us(create_policy, SLOW_WORK_RUNS)
    one_change = EndpointUpdate(UpdateKind.DELTA, make_endpoints(1, started_at=START_MS))
    change_us = min_cpu_us(partial(create_policy().handle, START_MS, one_change))
    pool = asyncio.run(measure_pool(endpoints))
    bytes_per_backend = (retained_bytes(create_policy) + pool.memory_bytes) // count
    return (
        count,
        len(list_json),
        len(list_json) // count,
        parse_us / 1000,
        parse_peak_mb,
        apply_us / 1000,
        bytes_per_backend,
        change_us / 1000,
        pool.sweep_us / 1000,
    )


def encode_backend(number: int, health: str = "up") -> bytes:
    """Return the list entry of backend `number`, as discovery sends it."""
    entry = make_entry(
        f"s-{number:08x}",
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379",
        cell=number // BACKENDS_PER_CELL,
        health=health,
        born_ms=int(START_MS) + number,
    )
    return encode_entry(entry)


def encode_snapshot_or_delta(entries: list[bytes], *, is_snapshot: bool) -> bytes:
    """Return the JSON line of a snapshot or a delta, without the newline."""
    return encode_list(LIST_VERSION, entries, is_snapshot=is_snapshot)


def parse_list(list_json: str) -> None:
    """Parse a list in parts of `ENDPOINTS_PER_TURN` entries, as the endpoint watcher does."""
    for hosts in iterate_array(list_json, "hosts", ENDPOINTS_PER_TURN, {}):
        parse_endpoints(hosts)


def policy_with_list(endpoints: tuple[Endpoint, ...]) -> GatewayPolicy:
    """Return a policy that has applied a complete list; a long list takes several steps to apply."""
    policy = GatewayPolicy(make_settings(gateways=FLEET_GATEWAYS), 1)
    actions = policy.handle(START_MS, snapshot_event(endpoints))
    while actions:
        actions = policy.handle(START_MS, TimerFired(TimerToken(TimerKind.REBUILD_SUBSET)))
    return policy


async def measure_pool(endpoints: tuple[Endpoint, ...]) -> PoolCost:
    """Return the memory of a pool with these backends, and the processor time of its periodic sweep."""
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
    memory_bytes = retained_bytes(partial(add_to_pool, pool, endpoints))
    sweep_us = min_cpu_us(pool.sweep)
    pool.close()
    return PoolCost(memory_bytes, sweep_us)


def add_to_pool(pool: BackendPool, endpoints: tuple[Endpoint, ...]) -> list[None]:
    """Add the addresses of all backends to the pool, and return a list with an entry for each.

    The measured memory, and with it the figures of docs/CAPACITY.md, includes this list of 8 bytes per
    backend.
    """
    ready = EndpointState.READY
    return [
        pool.update_endpoint(  # type: ignore[func-returns-value]
            endpoint.backend_id, Address(f"10.0.{number >> 8}.{number & 255}", number), ready
        )
        for number, endpoint in enumerate(endpoints)
    ]
