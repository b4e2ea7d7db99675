"""Runs one gateway: `python -m gateway`, told by LB_CONFIG what to do."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import resource
import signal
import sys
from collections.abc import Callable
from functools import partial

import uvloop

from .network.backend_pool import BackendPool
from .network.backoff import Backoff
from .network.client_listener import ClientListener, RequestParser
from .network.configuration import Config, ConfigError, load_config
from .network.counter_client import CounterClient
from .network.dispatcher import Dispatcher
from .network.endpoint_watch import EndpointListError, EndpointWatcher, parse_endpoint_list
from .network.timers import TimerQueue
from .policy.events import UpdateKind
from .policy.settings import Settings

log = logging.getLogger("gateway")

CLIENT_SHARE, BACKEND_SHARE = 0.5, 0.25  # of the descriptors; the rest is headroom
# At least so many: 14 of the process itself, 7 for watches that are opened and closed beside each other, 8
# for the counter at two addresses, and some for files that are read again and what the process began with.
RESERVED = 40
MEMORY_SHARE = 0.2  # of the memory, for answers that are not whole, and again for those not yet taken
STILL_COMING_S = 0.45  # after SIGTERM, new connections go on coming for this long
LONGEST_WAIT_S = 3.0  # the longest deadline that SIGKILL waits for, and 0.7 s more
LAST_ANSWER_S = 0.4  # of these 0.7 s: what is open then is failed, before SIGKILL would lose it
CLOSING_S = 0.1
AGENT_S = 1.0  # how long a start waits for the list of an agent, which answers at once if at all
GRACES = 0.25  # of the grace for drains: when another watch is opened for want of an answer
SOONEST_S = 0.05  # that is, at the soonest


class Reload:
    """A wish to read the configuration again, kept until somebody can fulfil it."""

    def __init__(self) -> None:
        self.wanted = False
        self.act: Callable[[], None] | None = None

    def __call__(self) -> None:
        self.wanted = self.act is None
        if self.act is not None:
            self.act()

    def ready(self, act: Callable[[], None]) -> None:
        self.act = act
        if self.wanted:
            self()


def reload(load: Callable[[], Config], discovery: EndpointWatcher, counter: CounterClient | None) -> None:
    """Take up the addresses that the configuration names now; all else stays as it was at the start."""
    try:
        config = load()
    except ConfigError as error:
        return log.error("not reloaded, the old configuration stands: %s", error)
    log.info("reloaded")
    if config.discovery != discovery.address:
        discovery.move_to(config.discovery)
    if counter is not None and config.counter is not None:
        counter.move_to(config.counter)


def drain_times(settings: Settings) -> tuple[float, float]:
    """Seconds after SIGTERM until clients' connections are closed, and until what is open is failed.

    The place of this gateway is empty until it is back, so it serves on those that it has for as long as an
    answer within its aim can still come before SIGKILL.
    """
    longest = min(
        LONGEST_WAIT_S, max((c.deadline_ms for c in settings.request_classes), default=3_000.0) / 1000
    )
    aim = max((c.latency_objective_ms for c in settings.request_classes), default=3_000.0) / 1000
    return max(STILL_COMING_S, longest + LAST_ANSWER_S - aim), longest + LAST_ANSWER_S


def shares(sockets: int) -> tuple[int, int]:
    """How many descriptors the connections of clients may take, and how many those to backends.

    Danger: clients fill all that they may have. A watch that finds none left then misses what it is told.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = sockets if allowed == resource.RLIM_INFINITY else min(sockets, allowed)
    room = max(0, sockets - RESERVED)
    of_clients, of_backends = int(sockets * CLIENT_SHARE), int(sockets * BACKEND_SHARE)
    return max(1, min(of_clients, room * 2 // 3)), max(1, min(of_backends, room // 3))


async def serve(
    config: Config,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    again: Reload | None = None,
    load: Callable[[], Config] | None = None,
) -> None:
    """Serve until `stop` is set, then drain. `ready` is told the port once clients may come.

    A call of `again` brings a new configuration from `load`.
    """
    loop = asyncio.get_running_loop()
    timers = TimerQueue(loop)
    memory = int(config.memory_mb * MEMORY_SHARE * 2**20)
    for_clients, for_backends = shares(config.max_descriptors)
    backends = BackendPool(
        loop,
        timers,
        connect_timeout_ms=config.connect_timeout_ms,
        keepalive_ms=config.keepalive_ms,
        drain_grace_ms=config.settings.safety_rules.drain_grace_ms,
        max_connections=for_backends,
        max_buffered_bytes=memory,
    )
    counter = (
        CounterClient(loop, timers, config.counter, config.settings.counter_timeout_ms)
        if config.counter
        else None
    )
    driver = Dispatcher(config.settings, config.seed, timers, backends, counter, config.max_open_requests)

    asked, version = config.settings.polls_endpoints, None
    if config.cached_endpoints:
        try:
            known = parse_endpoint_list(config.cached_endpoints)
        except EndpointListError as error:
            log.error("the list known before cannot be read: %s", error)
        else:
            # It may be old, and what an agent holds counts as told from the first moment: that is read whole.
            version = known.version if asked else None
            driver.on_endpoints(UpdateKind.CACHED, known.members)
    busy = Backoff(config.settings.gateway_count, config.poll_interval_ms / 1000, random.Random(config.seed))
    soon = max(SOONEST_S, config.settings.safety_rules.drain_grace_ms / 1000 * GRACES)
    discovery = EndpointWatcher(config.discovery, version, driver.on_endpoints, busy, asked, soon)
    watch = loop.create_task(discovery.run())
    stopped = loop.create_task(stop.wait())
    if not asked:
        read = loop.create_task(discovery.snapshot_received.wait())
        await asyncio.wait({read, watch, stopped}, timeout=AGENT_S, return_when=asyncio.FIRST_COMPLETED)
        read.cancel()
    server = ClientListener(
        loop,
        timers,
        driver,
        RequestParser(config.settings),
        for_clients,
        memory,
    )
    if again is not None and load is not None:
        again.ready(partial(reload, load, discovery, counter))
    port = server.listen(*config.listen)
    gc.collect()
    gc.freeze()  # what was loaded stays: no pause to look at it again
    log.info("%s serves at %s:%d", config.name, config.listen[0], port)
    if ready is not None:
        ready(port)

    await asyncio.wait({stopped, watch}, return_when=asyncio.FIRST_COMPLETED)
    if watch.done():
        stopped.cancel()
        watch.result()  # it never ends but by a fault: better a crash that is seen than a list that is stale
    log.info("draining")
    started = loop.time()
    keep, last = drain_times(config.settings)
    await asyncio.sleep(keep)
    server.begin_shutdown()
    try:
        async with asyncio.timeout_at(started + last):
            await server.all_closed.wait()
    except TimeoutError:
        log.warning("%d requests open at the end", len(driver.requests))
        driver.fail_open_requests()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSING_S):
                await server.all_closed.wait()
    server.close()
    log.info("drained")
    watch.cancel()
    backends.close()
    if counter is not None:
        counter.close()


async def run(path: str) -> None:
    loop, stop, again = asyncio.get_running_loop(), asyncio.Event(), Reload()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Danger: without a handler SIGHUP ends the process, and all requests that are open in it.
    loop.add_signal_handler(signal.SIGHUP, again)
    load = partial(load_config, path)
    await serve(load(), stop, again=again, load=load)


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("gateway: LB_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(path))
    except (ConfigError, EndpointListError) as error:
        print(f"gateway: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
