"""Pool of connections to the listed backends: starts and abandons attempts, bounds and sweeps connections."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter

from gateway.network.address import Address, parse_address
from gateway.network.timers import TimerQueue, now_ms
from gateway.policy.events import EndpointState, Outcome

from .attempt import BackendAttempt
from .connection import BackendConnection, ConnectionResources, PooledEndpoint

log = logging.getLogger(__name__)

MAX_IDLE_SHARE = 0.6
"""Share of the keep-alive time after which an idle connection is closed, before the backend may close it."""

SWEEP_INTERVAL_MS = 1_000.0
"""Between two sweeps, in milliseconds; the decay of the idle-loss estimate goes by it."""

DRAIN_GRACE_MARGIN_MS = 50.0
"""Milliseconds before the end of the grace in which a draining backend still takes new work."""

REUSE_DELAY_MS = 5.0
"""Rest before a connection is used again: bytes that follow its last reply unrequested have come by then."""

MAX_LOGGED_FAILURES = 5
"""Peers and reasons that a sweep's log line names, the most frequent first."""


class BackendPool:
    """Connections to backends, by endpoint. Decides nothing: it sends as asked, or reports why not."""

    def __init__(  # noqa: PLR0913 - each is a setting of the deployment, named by its keyword
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
        """Create an empty pool, which sweeps itself until the loop ends.

        Args:
            loop: the event loop that drives the sockets.
            timers: the queue of the sweep's timer.
            connect_timeout_ms: how long a connection may take to be established.
            keepalive_ms: how long backends keep idle connections open.
            drain_grace_ms: how long a backend takes new work after it was reported as draining.
            max_connections: bound on the connections to all backends together.
            max_buffered_bytes: bound on the incomplete replies of all connections together.
        """
        self.timers = timers
        self.max_idle_ms = keepalive_ms * MAX_IDLE_SHARE
        self.drain_grace_ms = drain_grace_ms
        self.max_connections = max_connections
        self.resources = ConnectionResources(loop, connect_timeout_ms, max_buffered_bytes)
        self.connections = self.resources.open_connections
        # Danger: as tuples the addresses of a long list would be visited by the garbage collector after a
        # change, all of them; texts are not.
        self.addresses: dict[int, str] = {}
        """Addresses of all listed backends, as "host:port"."""
        self.endpoints: dict[int, PooledEndpoint] = {}
        """Endpoints of backends with connections, listed or draining."""
        self.failed_connects: Counter[str] = Counter()
        """Connections that could not be begun since the last sweep, by peer and reason."""
        self.timers.call_at(now_ms() + SWEEP_INTERVAL_MS, self.sweep)

    # ---- the endpoint list ----

    def update(self, backend_id: int, address: Address, state: EndpointState) -> None:
        """Apply an entry of the endpoint list; the address counts only if the backend is ready."""
        if state is not EndpointState.READY:
            self._drain(backend_id)
            return
        self.addresses[backend_id] = f"{address[0]}:{address[1]}"
        if endpoint := self.endpoints.get(backend_id):
            if endpoint.address != address:
                endpoint.close_idle()
                endpoint.address = address
            endpoint.no_new_work_after = math.inf

    def replace_endpoints(self, addresses: dict[int, str]) -> None:
        """Apply a whole endpoint list, as ready backends' addresses; backends that it leaves out drain."""
        for backend_id in self.endpoints.keys() - addresses.keys():
            self._drain(backend_id)
        self.addresses = addresses

    def _drain(self, backend_id: int) -> None:
        self.addresses.pop(backend_id, None)
        if endpoint := self.endpoints.get(backend_id):
            grace_end = now_ms() + self.drain_grace_ms - DRAIN_GRACE_MARGIN_MS
            endpoint.no_new_work_after = min(endpoint.no_new_work_after, grace_end)
            endpoint.close_idle()

    # ---- attempts ----

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on an idle connection or a new one, or end it as a connect error."""
        endpoint = self.endpoints.get(attempt.backend_id)
        if endpoint is None and (address := self.addresses.get(attempt.backend_id)):
            endpoint = PooledEndpoint(parse_address(address))
            self.endpoints[attempt.backend_id] = endpoint
        now = now_ms()
        if endpoint is None or not endpoint.accepts_new_work(now):
            attempt.end(Outcome.CONNECT_ERROR)
            return
        connection = self._take_idle_connection(endpoint, now)
        if connection is not None:
            connection.start(attempt)
        else:
            self._connect(endpoint, attempt)

    def abandon(self, attempt: BackendAttempt, outcome: Outcome) -> None:
        """End an attempt with `outcome`; one that times out before its last byte left never ran."""
        connection = attempt.connection
        if connection is None:
            attempt.end(outcome)
            return
        if outcome is Outcome.TIMED_OUT and connection.break_outcome() is Outcome.CONNECT_ERROR:
            outcome = Outcome.CONNECT_ERROR
        connection.end(outcome)

    def _take_idle_connection(self, endpoint: PooledEndpoint, now: float) -> BackendConnection | None:
        """Return the connection used last that has rested; close those on the way that are not usable."""
        for connection in endpoint.idle_connections[::-1]:
            idle_ms = now - connection.idle_since
            if idle_ms < REUSE_DELAY_MS:
                continue
            if idle_ms < min(self.max_idle_ms, self.resources.idle_loss.limit_ms) and connection.is_alive():
                endpoint.idle_connections.remove(connection)
                return connection
            connection.close()
        return None

    def _connect(self, endpoint: PooledEndpoint, attempt: BackendAttempt) -> None:
        if len(self.connections) >= self.max_connections:
            self._close_longest_idle()
        if len(self.connections) >= self.max_connections:
            # Better one attempt rejected than no descriptors left.
            attempt.end(Outcome.CONNECT_ERROR)
            return
        try:
            self.connections.add(BackendConnection(self.resources, endpoint, attempt))
        except OSError as error:
            host, port = endpoint.address
            self.failed_connects[f"{host}:{port} {error.strerror or 'unknown'}"] += 1
            attempt.end(Outcome.CONNECT_ERROR)

    # ---- connections ----

    def _close_longest_idle(self) -> None:
        longest_idle = [
            endpoint.idle_connections[0] for endpoint in self.endpoints.values() if endpoint.idle_connections
        ]
        if longest_idle:
            min(longest_idle, key=lambda connection: connection.idle_since).close()

    def sweep(self) -> None:
        """Close connections idle for too long, forget unused endpoints and log what failed; once a second."""
        now = now_ms()
        self.resources.idle_loss.decay()
        self._sweep_endpoints(now)
        _log_failures("connecting to backends", "the attempts never ran", self.failed_connects)
        _log_failures(
            "reading replies of backends", "the connections were closed", self.resources.malformed_replies
        )
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def _sweep_endpoints(self, now: float) -> None:
        max_idle_ms = min(self.max_idle_ms, self.resources.idle_loss.limit_ms)
        used = {connection.endpoint for connection in self.connections}
        for backend_id, endpoint in list(self.endpoints.items()):
            for connection in list(endpoint.idle_connections):
                if now - connection.idle_since < max_idle_ms:
                    break
                connection.close()
            if not endpoint.accepts_new_work(now) or endpoint not in used:
                del self.endpoints[backend_id]

    def close(self) -> None:
        """Close all connections; attempts on them end as if the connections broke."""
        for connection in list(self.connections):
            connection.end(connection.break_outcome())


def _log_failures(operation: str, consequence: str, failures: Counter[str]) -> None:
    """Log failures of a sweep interval in one line, and clear them."""
    if not failures:
        return
    examples = ", ".join(f"{what} ({count})" for what, count in failures.most_common(MAX_LOGGED_FAILURES))
    log.warning("%s failed %d times, %s: %s", operation, failures.total(), consequence, examples)
    failures.clear()
