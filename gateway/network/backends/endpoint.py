"""A backend's endpoint in the pool: its address, its idle connections and the end of its drain grace."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from gateway.network.address import Address

from .attempt import BackendAttempt

REUSE_DELAY_MS = 5.0
"""Milliseconds before a connection is reused: unsolicited bytes after its last reply have arrived by then."""


class PooledConnection(Protocol):
    """A connection to a backend, as far as its endpoint and the pool need it."""

    @property
    def address(self) -> Address:
        """The address that it is connected to."""

    @property
    def idle_since(self) -> float:
        """When its last attempt ended, in milliseconds of `now_ms`."""

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on this idle connection."""

    def is_alive(self) -> bool:
        """Whether an idle connection is still open, and has received nothing."""

    def close(self) -> None:
        """Close the connection, and call `PooledEndpoint.remove_idle`."""


@dataclass(eq=False, slots=True)
class PooledEndpoint:
    """A backend's endpoint in the pool; times are milliseconds of `now_ms`."""

    address: Address
    idle_connections: list[PooledConnection] = field(default_factory=list, init=False)
    """The most recently used one is the last."""
    no_new_work_after: float = field(default=math.inf, init=False)
    """When the grace for new work ends; infinite unless the backend is draining."""

    # ---- the endpoint list ----

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint list has reported the backend as draining, or omitted it."""
        return self.no_new_work_after < math.inf

    def accepts_new_work(self, now: float) -> bool:
        """Whether the first byte of an attempt may be written now."""
        return now < self.no_new_work_after

    def set_ready(self, address: Address) -> None:
        """Take new work at this address; idle connections to another address are closed."""
        if address != self.address:
            self.close_idle()
            self.address = address
        self.no_new_work_after = math.inf

    def begin_drain(self, grace_end: float) -> None:
        """Take new work until `grace_end` at the latest, and close the idle connections."""
        self.no_new_work_after = min(self.no_new_work_after, grace_end)
        self.close_idle()

    # ---- idle connections ----

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection without an attempt for reuse, or close it if it will not be reused."""
        if self.is_draining or connection.address != self.address:
            connection.close()
            return
        self.idle_connections.append(connection)

    def take_idle(self, now: float, max_idle_ms: float) -> PooledConnection | None:
        """Remove and return the most recently used connection that may be reused; None if there is none.

        Connections found on the way that are dead, or were idle for `max_idle_ms`, are closed.
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
        """Remove a closed connection from the idle ones, if it was idle."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle_connections):
            connection.close()

    def close_expired(self, now: float, max_idle_ms: float) -> None:
        """Close the connections that were idle for `max_idle_ms`."""
        for connection in list(self.idle_connections):
            if now - connection.idle_since < max_idle_ms:
                break
            connection.close()
