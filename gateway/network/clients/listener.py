"""The RESP server that clients connect to.

Connections that come by hundreds are accepted as there is capacity for them, and what each of them, and all
together, may make the process hold is bounded.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from dataclasses import dataclass

from gateway.network.timers import Timer, TimerQueue, now_ms

from .connection import FIRST_REQUEST_GRACE_MS, ClientConnection
from .pending_reply import RequestHandler
from .request_parser import RequestParser

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
"""Connections that may wait in the kernel to be accepted, at no cost in descriptors."""

ACCEPTS_PER_TURN = 32
"""Connections accepted in one turn of the event loop, so that those accepted are also read between."""

ACCEPT_RETRY_MS = 20.0
"""Until there may be capacity, or a descriptor, again; also between two checks of a shutdown."""

RECEIVE_BUFFER_BYTES = 32 * 1024
"""The most that is received from a connection at once."""

READ_AHEAD_MEMORY_SHARE = 0.25
"""Of the memory allowed: what all connections together may hold of commands that are not taken yet."""

SWEEP_INTERVAL_MS = 250.0
"""Between two checks of the time-outs of all connections."""

REJECTION_LOG_INTERVAL_MS = 1_000.0
"""Least time between two log lines on rejections, as a flood of clients must not become one of lines."""

EVICTABLE_AFTER_MS = 2_000.0
"""A connection unused for this long may be closed for a new one when capacity is short."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What all clients together may take."""

    max_connections: int
    memory_bytes: int
    """Replies that are not sent yet; a share of as much again is for commands that are not taken yet."""


class ClientListener:
    """Accepts the connections of clients, and bounds their number and what they may hold."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: TimerQueue,
        handler: RequestHandler,
        parser: RequestParser,
        limits: ClientLimits,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.handler = handler
        self.parser = parser
        self.max_connections = limits.max_connections
        self.max_unsent_bytes = limits.memory_bytes
        self.max_read_ahead_bytes = int(limits.memory_bytes * READ_AHEAD_MEMORY_SHARE)
        self.unsent_bytes = 0
        self.read_ahead_bytes = 0
        self.receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)
        self.receive_view = memoryview(self.receive_buffer)
        # Dictionaries for their order: the least recently used connection first, and of those that have sent
        # no request yet the oldest.
        self.connections: dict[ClientConnection, None] = {}
        self.connections_without_request: dict[ClientConnection, None] = {}
        self.rejection_counts: Counter[str] = Counter()  # by reason, since the last log line
        self._rejections_logged_at = 0.0
        self.address = "no address"  # for the log
        self.listening_socket: socket.socket | None = None
        self.is_draining = False
        self._is_accepting = False
        self._accept_timer: Timer | None = None
        self.all_closed = asyncio.Event()
        self.all_closed.set()

    def listen(self, host: str, port: int) -> int:
        """Start to accept connections.

        Returns:
            The port, which the system chooses if `port` is 0.

        Raises:
            OSError: the address can't be listened at.
        """
        self.listening_socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.listening_socket.setblocking(False)
        bound_port = int(self.listening_socket.getsockname()[1])
        self.address = f"{host}:{bound_port}"
        self._resume_accepting()
        self.sweep()
        return bound_port

    # ---- accepting ----

    def _resume_accepting(self) -> None:
        self._accept_timer = None
        if self.listening_socket is not None and not self._is_accepting:
            self._is_accepting = True
            self.loop.add_reader(self.listening_socket.fileno(), self._on_connections_waiting)

    def _pause_accepting(self) -> None:
        """Leave connections in the kernel's queue for a while.

        They cost nothing there, while a close would fail their requests.
        """
        if self.listening_socket is not None and self._is_accepting:
            self._is_accepting = False
            self.loop.remove_reader(self.listening_socket.fileno())
            self._accept_timer = self.timers.call_at(now_ms() + ACCEPT_RETRY_MS, self._resume_accepting)

    def _on_connections_waiting(self) -> None:
        for turn in range(ACCEPTS_PER_TURN):
            if turn and len(self.connections) >= self.max_connections:
                return  # one is evicted only for one that is known to wait, as in the first turn
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection that waits; whether there was one, and capacity for it."""
        if self.listening_socket is None:
            return False
        if len(self.connections) >= self.max_connections and not self._evict_unused():
            self._pause_accepting()
            return False
        try:
            accepted, _address = self.listening_socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            self.rejection_counts[f"not accepted: {error.strerror}"] += 1
            self._pause_accepting()
            return False
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, accepted)
        self.connections[connection] = None
        self.connections_without_request[connection] = None
        self.all_closed.clear()
        return True

    def _evict_unused(self) -> bool:
        """Close a connection that nobody is using, preferably one that never sent a request.

        Returns:
            Whether there was one.
        """
        now = now_ms()
        oldest = next((c for c in self.connections_without_request if c.is_idle), None)
        if oldest is not None and now - oldest.last_used_at > FIRST_REQUEST_GRACE_MS:
            if oldest.command_parser.buffered_bytes:
                oldest.close()  # those that begin a command and stop would keep all others out
            if oldest.close_if_unused():
                return True
        unused = next(
            (
                c
                for c in self.connections
                if c.is_between_commands and c not in self.connections_without_request
            ),
            None,
        )
        return (
            unused is not None and now - unused.last_used_at > EVICTABLE_AFTER_MS and unused.close_if_unused()
        )

    # ---- events of the connections ----

    def on_request_received(self, connection: ClientConnection) -> None:
        """Count a connection among those that have sent a request."""
        self.connections_without_request.pop(connection, None)

    def on_reply_sent(self, connection: ClientConnection) -> None:
        """Count a connection as the most recently used."""
        connection.last_used_at = now_ms()
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)
        self.connections_without_request.pop(connection, None)
        if not self.connections:
            self.all_closed.set()

    def close_slowest_reader(self) -> None:
        """Close the client that has taken no reply for the longest time, before memory runs out."""
        slowest = min(
            (c for c in self.connections if c.send_buffer), key=lambda c: c.last_progress_at, default=None
        )
        if slowest is not None:
            self.rejection_counts["replies left unread"] += 1
            slowest.close()

    def sweep(self) -> None:
        """Enforce the time-outs of all connections, now and at intervals from now on."""
        now = now_ms()
        self._enforce_timeouts(now)
        if self.rejection_counts and now - self._rejections_logged_at >= REJECTION_LOG_INTERVAL_MS:
            log.warning(
                "clients of %s rejected, each with an error reply or its connection closed, by reason: %s",
                self.address,
                dict(self.rejection_counts),
            )
            self.rejection_counts.clear()
            self._rejections_logged_at = now
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def _enforce_timeouts(self, now: float) -> None:
        for connection in list(self.connections):
            connection.enforce_timeouts(now)

    # ---- shutdown ----

    def begin_shutdown(self) -> None:
        """Accept nothing more, and close each connection as soon as it has its replies.

        Connections that wait in the kernel's queue count as accepted, and may have sent a request already: a
        close of the listening socket would reset them. They have `FIRST_REQUEST_GRACE_MS` to send what is on
        its way.
        """
        self.is_draining = True
        for connection in list(self.connections):
            if connection not in self.connections_without_request:
                connection.close_if_unused()
        while self._accept_one():
            pass
        if self.listening_socket is not None:
            self._pause_accepting()
            self.listening_socket.close()
            self.listening_socket = None
            self._close_unused_soon()

    def _close_unused_soon(self) -> None:
        """Enforce the time-outs more often than the sweep does."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms())
        if self.connections:
            self.timers.call_at(now_ms() + ACCEPT_RETRY_MS, self._close_unused_soon)

    def close(self) -> None:
        """Close all connections at the end of the process; what has come until now still gets a reply."""
        for connection in list(self.connections):
            connection.close_after_last_read()
