"""A backend's endpoint in the pool: its address, its idle connections and the end of its drain grace."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from gateway.network.address import Address

from .attempt import BackendAttempt

REUSE_DELAY_MS = 5.0
"""Minimum milliseconds between a reply and the reuse of its connection, for unsolicited bytes to arrive."""


class PooledConnection(Protocol):
    """The part of a connection's interface that its endpoint and the pool use."""

    @property
    def address(self) -> Address:
        """The address to which the connection was opened."""

    @property
    def idle_since(self) -> float:
        """When the last attempt ended, in milliseconds as returned by `now_ms`."""

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on this idle connection."""

    def is_alive(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes."""

    def close(self) -> None:
        """Close the connection and call `PooledEndpoint.remove_idle`."""


@dataclass(eq=False, slots=True)
class PooledEndpoint:
    """A backend's endpoint in the pool.

    Times are in milliseconds, as returned by `now_ms`.
    """

    address: Address
    idle_connections: list[PooledConnection] = field(default_factory=list, init=False)
    """Connections without an attempt, in the order of their last use."""
    no_new_work_after: float = field(default=math.inf, init=False)
    """The end of the drain grace, after which no attempt is sent; infinite unless the backend is draining."""

    # ---- the endpoint list ----

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint list has reported the backend as draining, or omitted it."""
        return self.no_new_work_after < math.inf

    def accepts_new_work(self, now: float) -> bool:
        """Return whether the first byte of a request may be written at `now`."""
        return now < self.no_new_work_after

    def set_ready(self, address: Address) -> None:
        """Accept new work at this address, and close idle connections to another address."""
        if address != self.address:
            self.close_idle()
            self.address = address
        self.no_new_work_after = math.inf

    def begin_drain(self, grace_end: float) -> None:
        """Accept new work until `grace_end` at the latest, and close the idle connections."""
        self.no_new_work_after = min(self.no_new_work_after, grace_end)
        self.close_idle()

    # ---- idle connections ----

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection without an attempt for reuse; close it if the backend drains or has moved."""
        if self.is_draining or connection.address != self.address:
            connection.close()
            return
        self.idle_connections.append(connection)

    def take_idle(self, now: float, max_idle_ms: float) -> PooledConnection | None:
        """Remove and return the most recently used connection that may be reused; None if there is none.

        The search closes the connections it finds dead or idle for `max_idle_ms` or longer.
        """
        for connection in self.idle_connections[::-1]:
            idle_ms = now - connection.idle_since
            if idle_ms < REUSE_DELAY_MS:
                continue
            if idle_ms < max_idle_ms and connection.is_alive():
                self.idle_connections.remove(connection)
                return connection
            connection.close()
        return None

    def remove_idle(self, connection: PooledConnection) -> None:
        """Remove a closed connection from the idle connections, if it is one of them."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle_connections):
            connection.close()

    def close_expired(self, now: float, max_idle_ms: float) -> None:
        """Close the connections that have been idle for `max_idle_ms` or longer."""
        for connection in list(self.idle_connections):
            if now - connection.idle_since < max_idle_ms:
                break
            connection.close()
