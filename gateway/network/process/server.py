"""The life cycle of one gateway: startup, reload and graceful shutdown.

`GatewayServer` owns the gateway's components and the task that watches the endpoint list.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
from collections.abc import Callable
from functools import partial

from gateway.network.clients.listener import ClientListener
from gateway.network.discovery.endpoint_list import EndpointListError, parse_endpoint_list
from gateway.network.discovery.watch import EndpointWatcher
from gateway.network.timers import TimerQueue
from gateway.policy.events import UpdateKind

from .configuration import GatewayConfig
from .memory_budget import resident_memory_bytes
from .parts import PartFactory
from .reload import ReloadSignal, reload_addresses
from .resource_log import LoggedParts, ResourceLog
from .shutdown_schedule import ShutdownSchedule

log = logging.getLogger("gateway")

FIRST_SNAPSHOT_TIMEOUT_S = 1.0
"""Maximum time that startup waits for the endpoint list of discovery's agent, in seconds.

The agent responds immediately, or not at all while discovery is down.
"""


class GatewayServer:
    """One gateway, from startup to the end of a graceful shutdown.

    Instantiate it within a running event loop, and run it once.
    """

    def __init__(
        self,
        config: GatewayConfig,
        *,
        load_config: Callable[[], GatewayConfig] | None = None,
        reload_signal: ReloadSignal | None = None,
        shutdown_schedule: ShutdownSchedule | None = None,
    ) -> None:
        """Create the components without opening connections.

        Args:
            config: the configuration at startup.
            load_config: reads the configuration again for a reload, which applies its addresses.
            reload_signal: triggers reloads, which are disabled if it or `load_config` is None.
            shutdown_schedule: replaces the schedule that is derived from the settings.
        """
        self._config = config
        self._load_config = load_config
        self._reload_signal = reload_signal
        self._shutdown_schedule = shutdown_schedule or ShutdownSchedule.for_settings(config.settings)
        self._loop = asyncio.get_running_loop()
        self._timers = TimerQueue(self._loop)
        self._part_factory = PartFactory(config, self._timers, resident_memory_bytes())
        self._backends = self._part_factory.create_backend_pool()
        self._counter = self._part_factory.create_counter_client()
        self._dispatcher = self._part_factory.create_dispatcher(self._backends, self._counter)

    async def run(self, stop: asyncio.Event, on_ready: Callable[[int], None] | None = None) -> None:
        """Serve until `stop` is set, then shut down gracefully.

        `on_ready` is called with the listening port as soon as clients may connect. If the watch of the
        endpoint list fails, its exception is raised.
        """
        version = self._apply_cached_endpoints()
        watcher = self._part_factory.create_watcher(version, self._dispatcher.on_endpoints)
        watch_task = self._loop.create_task(watcher.run())
        stop_task = self._loop.create_task(stop.wait())
        try:
            if not self._config.settings.polls_endpoints:
                await self._await_first_snapshot(watcher, watch_task, stop_task)
            listener = self._start_listening(watcher, on_ready)
            await asyncio.wait({stop_task, watch_task}, return_when=asyncio.FIRST_COMPLETED)
            if watch_task.done():
                # Raises the error of the watch: better to crash visibly than to serve with an outdated list.
                watch_task.result()
            await self._shut_down(listener)
        finally:
            watch_task.cancel()
            stop_task.cancel()
            await asyncio.wait({watch_task, stop_task})
        self._close_connections()

    # ---- startup ----

    def _apply_cached_endpoints(self) -> int | None:
        """Apply the cached endpoint list, if there is one.

        Returns:
            The version to watch from, or None to read a snapshot first. A list that an agent pushes is
            always read as a snapshot: the cached list may be outdated, but the gateway is expected to know
            everything in the agent's list from the start of the process.
        """
        if not self._config.cached_endpoints:
            return None
        try:
            cached = parse_endpoint_list(self._config.cached_endpoints)
        except EndpointListError as error:
            log.error(
                "gateway %s: invalid cached endpoint list, starting without it: %s",
                self._config.name,
                error,
            )
            return None
        self._dispatcher.on_endpoints(UpdateKind.CACHED, cached.endpoints)
        return cached.version if self._config.settings.polls_endpoints else None

    async def _await_first_snapshot(
        self, watcher: EndpointWatcher, watch_task: asyncio.Task[None], stop_task: asyncio.Task[bool]
    ) -> None:
        """Wait for the first snapshot, a failed watch or a stop, at most `FIRST_SNAPSHOT_TIMEOUT_S`."""
        snapshot_task = self._loop.create_task(watcher.snapshot_received.wait())
        try:
            await asyncio.wait(
                {snapshot_task, watch_task, stop_task},
                timeout=FIRST_SNAPSHOT_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            snapshot_task.cancel()

    def _start_listening(
        self, watcher: EndpointWatcher, on_ready: Callable[[int], None] | None
    ) -> ClientListener:
        """Start accepting clients, and handle reload signals from now on."""
        listener = self._part_factory.create_listener(self._dispatcher)
        if self._reload_signal is not None and self._load_config is not None:
            self._reload_signal.connect(partial(reload_addresses, self._load_config, watcher, self._counter))
        ResourceLog(
            self._config.name,
            self._config.memory_mb,
            self._part_factory.memory_budget,
            LoggedParts(self._timers, listener, self._dispatcher, self._counter),
        ).start()
        address = self._config.listen_address
        port = listener.listen(*address)
        gc.collect()
        gc.freeze()  # objects created at startup live as long as the process; later collections skip them
        log.info("%s serves at %s:%d", self._config.name, address.host, port)
        if on_ready is not None:
            on_ready(port)
        return listener

    # ---- shutdown ----

    async def _shut_down(self, listener: ClientListener) -> None:
        """Keep serving for a while, then close each client connection once its requests have ended."""
        began_at_s = self._loop.time()
        log.info(
            "gateway %s draining: %d requests open; serving for %.2f s more, "
            "requests still open after %.2f s will fail",
            self._config.name,
            self._dispatcher.open_request_count,
            self._shutdown_schedule.keep_serving_s,
            self._shutdown_schedule.fail_requests_s,
        )
        failed_request_count = 0
        await asyncio.sleep(self._shutdown_schedule.keep_serving_s)
        listener.begin_shutdown()
        try:
            async with asyncio.timeout_at(began_at_s + self._shutdown_schedule.fail_requests_s):
                await listener.all_closed.wait()
        except TimeoutError:
            failed_request_count = await self._fail_open_requests(listener)
        listener.close()
        log.info(
            "gateway %s drained after %.2f s: %d requests failed at the end of the shutdown",
            self._config.name,
            self._loop.time() - began_at_s,
            failed_request_count,
        )

    async def _fail_open_requests(self, listener: ClientListener) -> int:
        """Reply to open requests with a failure, since SIGKILL would drop them silently; return the count."""
        failed_request_count = self._dispatcher.open_request_count
        log.warning(
            "gateway %s: %d requests still open at the end of the shutdown; each gets a failure reply",
            self._config.name,
            failed_request_count,
        )
        self._dispatcher.fail_open_requests()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._shutdown_schedule.close_timeout_s):
                await listener.all_closed.wait()
        return failed_request_count

    def _close_connections(self) -> None:
        self._backends.close()
        if self._counter is not None:
            self._counter.close()
