"""Pool of connections to the listed backends, which sends and abandons attempts."""

from __future__ import annotations

import asyncio

from gateway.network.address import Address, parse_address
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.events import EndpointState, Outcome

from .attempt import BackendAttempt
from .connecting import BackendConnectError
from .connection import BackendConnection
from .endpoint import PooledConnection, PooledEndpoint
from .failure_log import FailureLog
from .resources import ConnectionResources

MAX_IDLE_SHARE = 0.6
"""Fraction of the keep-alive time after which an idle connection is closed, before the backend may do so."""

SWEEP_INTERVAL_MS = 1_000.0
"""Milliseconds between two sweeps, each of which decays the counts of lost requests once."""

DRAIN_GRACE_MARGIN_MS = 50.0
"""Milliseconds before the end of a drain grace at which sending stops, so that no request arrives late."""


class BackendPool:
    """Connections to backends, grouped by endpoint.

    The pool makes no decisions: it sends an attempt to its backend, or ends it at once.
    """

    def __init__(  # noqa: PLR0913 - settings of the deployment, passed by keyword
        self,
        loop: asyncio.AbstractEventLoop,
        timers: TimerQueue,
        *,
        connect_timeout_ms: float,
        keepalive_ms: float,
        drain_grace_ms: float,
        max_connections: int,
        max_buffered_bytes: int,
    ) -> None:
        """Create an empty pool, which sweeps its connections until the loop ends.

        Args:
            loop: the event loop that drives the sockets.
            timers: the queue for the timer of the sweeps.
            connect_timeout_ms: how long a connection may take to be established.
            keepalive_ms: how long backends keep idle connections open.
            drain_grace_ms: how long a backend accepts new work after it was reported as draining.
            max_connections: maximum number of connections to all backends together.
            max_buffered_bytes: maximum bytes of incomplete replies, for all connections together.
        """
        self.timers = timers
        self.configured_max_idle_ms = keepalive_ms * MAX_IDLE_SHARE
        self.drain_grace_ms = drain_grace_ms
        self.max_connections = max_connections
        self.resources = ConnectionResources(loop, connect_timeout_ms, max_buffered_bytes)
        self.connections: set[BackendConnection] = set()
        """All connections that are not closed."""
        # Strings, because the garbage collector traverses tuples but not strings: an `Address` for each
        # backend would make its runs longer.
        self.addresses: dict[int, str] = {}
        """Addresses of the ready backends by id, as "host:port"."""
        self.endpoints: dict[int, PooledEndpoint] = {}
        """Endpoints by backend id, of ready and draining backends with connections."""
        self.connect_failures = FailureLog("connecting to backends", "the attempts never ran")
        """Connects that could not be started since the last sweep."""
        self.timers.call_at(now_ms() + SWEEP_INTERVAL_MS, self.sweep)

    # ---- the endpoint list ----

    def update_endpoint(self, backend_id: int, address: Address, state: EndpointState) -> None:
        """Apply an entry of the endpoint list; `address` is used only if the backend is ready."""
        if state is not EndpointState.READY:
            self._drain(backend_id)
            return
        host, port = address
        self.addresses[backend_id] = f"{host}:{port}"  # faster than `str(address)`
        if endpoint := self.endpoints.get(backend_id):
            endpoint.set_ready(address)

    def replace_endpoints(self, addresses: dict[int, str]) -> None:
        """Apply a complete list, given as the addresses of ready backends; backends that it omits drain."""
        for backend_id in self.endpoints.keys() - addresses.keys():
            self._drain(backend_id)
        self.addresses = addresses

    def _drain(self, backend_id: int) -> None:
        self.addresses.pop(backend_id, None)
        if endpoint := self.endpoints.get(backend_id):
            endpoint.begin_drain(now_ms() + self.drain_grace_ms - DRAIN_GRACE_MARGIN_MS)

    # ---- attempts ----

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on an idle or new connection; end it as a connect error if that is impossible."""
        endpoint = self.endpoints.get(attempt.backend_id)
        if endpoint is None and (address := self.addresses.get(attempt.backend_id)):
            endpoint = PooledEndpoint(parse_address(address))
            self.endpoints[attempt.backend_id] = endpoint
        now = now_ms()
        if endpoint is None or not endpoint.accepts_new_work(now):
            attempt.end(Outcome.CONNECT_ERROR)
            return
        connection = endpoint.take_idle(now, self._max_idle_ms())
        if connection is not None:
            connection.start(attempt)
        else:
            self._connect(endpoint, attempt)

    def abandon(self, attempt: BackendAttempt, outcome: Outcome) -> None:
        """Close the connection of an attempt and end the attempt with `outcome`.

        A timeout before the request was sent completely becomes a connect error, as the request never ran.
        """
        connection = attempt.connection
        if connection is None:
            attempt.end(outcome)
            return
        if outcome is Outcome.TIMED_OUT and connection.outcome_if_broken() is Outcome.CONNECT_ERROR:
            outcome = Outcome.CONNECT_ERROR
        connection.close_and_end_attempt(outcome)

    def _max_idle_ms(self) -> float:
        """Return the idle time, in milliseconds, at which a connection is no longer reused."""
        return min(self.configured_max_idle_ms, self.resources.idle_loss.max_idle_ms)

    def _connect(self, endpoint: PooledEndpoint, attempt: BackendAttempt) -> None:
        if len(self.connections) >= self.max_connections:
            self._close_longest_idle()
        if len(self.connections) >= self.max_connections:
            # The attempt is shed: without the bound, the process would run out of file descriptors.
            attempt.end(Outcome.CONNECT_ERROR)
            return
        try:
            connection = BackendConnection(self.resources, endpoint, attempt, self.connections.discard)
        except BackendConnectError as error:
            self.connect_failures.record(endpoint.address, error.reason)
            attempt.end(Outcome.CONNECT_ERROR)
            return
        self.connections.add(connection)

    # ---- connections ----

    def _close_longest_idle(self) -> None:
        longest_idle: list[PooledConnection] = [
            endpoint.idle_connections[0] for endpoint in self.endpoints.values() if endpoint.idle_connections
        ]
        if longest_idle:
            min(longest_idle, key=lambda connection: connection.idle_since).close()

    def sweep(self) -> None:
        """Close connections idle too long, remove unused endpoints and log failures, now and every second."""
        now = now_ms()
        self.resources.idle_loss.decay()
        self._sweep_endpoints(now)
        self.connect_failures.flush()
        self.resources.reply_failures.flush()
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def _sweep_endpoints(self, now: float) -> None:
        max_idle_ms = self._max_idle_ms()
        endpoints_in_use = {connection.endpoint for connection in self.connections}
        for backend_id, endpoint in list(self.endpoints.items()):
            endpoint.close_expired(now, max_idle_ms)
            if not endpoint.accepts_new_work(now) or endpoint not in endpoints_in_use:
                del self.endpoints[backend_id]

    def close(self) -> None:
        """Close all connections; attempts on them end as if their connections had broken."""
        for connection in list(self.connections):
            connection.close_and_end_attempt(connection.outcome_if_broken())
