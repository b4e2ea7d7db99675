"""The RESP server that clients connect to.

Hundreds of connections may arrive at once; they are accepted as capacity becomes available. Their number is
bounded, and so is the memory that all of them use together.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from gateway.network.timers import Timer, TimerQueue, now_ms

from .command_reader import ReceiveBuffer
from .connection import FIRST_REQUEST_GRACE_MS, ClientConnection
from .input_scheduler import InputScheduler
from .memory import ClientMemory
from .paused_readers import PausedReaders
from .pending_reply import RequestHandler
from .rejection_log import RejectionLog
from .request_parser import RequestParser

LISTEN_BACKLOG = 1024
"""Maximum number of connections that wait in the kernel to be accepted; they use no file descriptor there."""

MAX_ACCEPTS_PER_ITERATION = 32
"""Maximum number of connections accepted in one iteration of the event loop; the next iteration
also reads from the connections accepted so far."""

ACCEPT_RETRY_MS = 20.0
"""Milliseconds until accepting is retried after the connection limit was reached or descriptors ran out."""

SHUTDOWN_CHECK_INTERVAL_MS = 20.0
"""Milliseconds between two checks of the timeouts of all connections during a shutdown."""

SWEEP_INTERVAL_MS = 250.0
"""Milliseconds between two checks of the timeouts of all connections."""

EVICTABLE_AFTER_MS = 2_000.0
"""Milliseconds without use after which a connection may be closed to make room for a new one."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the resources that all clients together may use."""

    max_connections: int
    unsent_reply_bytes: int
    """Limit on the bytes of replies that are not sent yet."""
    waiting_reply_bytes: int
    """Limit on the bytes of replies that wait for earlier ones."""
    input_bytes: int
    """Limit on the bytes of input: what is read ahead, and the commands that wait for their replies. Each
    connection may exceed it by a small amount (`GUARANTEED_READ_AHEAD_BYTES`)."""


class ClientListener:
    """Accepts the connections of clients and limits their number and their memory."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: TimerQueue,
        *,
        handler: RequestHandler,
        parser: RequestParser,
        limits: ClientLimits,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.handler = handler
        self.parser = parser
        self.max_connections = limits.max_connections
        self.memory = ClientMemory(
            max_unsent_bytes=limits.unsent_reply_bytes,
            max_waiting_reply_bytes=limits.waiting_reply_bytes,
            max_input_bytes=limits.input_bytes,
        )
        self.receive_buffer = ReceiveBuffer()
        self.input_scheduler = InputScheduler(loop)
        self.paused_readers = PausedReaders(loop, self.memory)
        # The connections are kept as keys of dictionaries, which preserve their order.
        self.connections: dict[ClientConnection, None] = {}
        """All open connections, the least recently used first."""
        self.connections_without_request: dict[ClientConnection, None] = {}
        """Open connections that have not sent a valid request yet, the oldest first."""
        self.rejections = RejectionLog()
        self.address = "no address"
        """The address that clients connect to, for the log."""
        self.listening_socket: socket.socket | None = None
        self.is_draining = False
        self._is_accepting = False
        self._accept_timer: Timer | None = None
        self.all_closed = asyncio.Event()
        self.all_closed.set()

    def listen(self, host: str, port: int) -> int:
        """Start accepting connections.

        Returns:
            The port that clients connect to, which the system chooses if `port` is 0.

        Raises:
            OSError: the system does not allow listening at this address.
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
        """Leave new connections in the kernel's queue for `ACCEPT_RETRY_MS`.

        Accepting and closing the connections would fail their requests.
        """
        if self.listening_socket is not None and self._is_accepting:
            self._is_accepting = False
            self.loop.remove_reader(self.listening_socket.fileno())
            self._accept_timer = self.timers.call_at(now_ms() + ACCEPT_RETRY_MS, self._resume_accepting)

    def _on_connections_waiting(self) -> None:
        for accepted_count in range(MAX_ACCEPTS_PER_ITERATION):
            if accepted_count and len(self.connections) >= self.max_connections:
                # Only the first accept is certain to find a waiting connection. A later one might evict a
                # connection needlessly.
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection from the kernel's queue; return whether there was one, and capacity for it."""
        if self.listening_socket is None:
            return False
        if len(self.connections) >= self.max_connections and not self._evict_unused():
            self._pause_accepting()
            return False
        try:
            client_socket, _address = self.listening_socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            self.count_rejection(f"not accepted: {error.strerror}")
            self._pause_accepting()
            return False
        client_socket.setblocking(False)
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, client_socket)
        self.connections[connection] = None
        self.connections_without_request[connection] = None
        self.all_closed.clear()
        return True

    def _evict_unused(self) -> bool:
        """Close an unused connection, preferably one that has never sent a request.

        Returns:
            Whether a connection was closed.
        """
        now = now_ms()
        oldest = next(
            (connection for connection in self.connections_without_request if connection.is_idle), None
        )
        if oldest is not None and now - oldest.last_used_at > FIRST_REQUEST_GRACE_MS:
            if not oldest.is_between_commands:
                # Otherwise, clients that begin a command and stop could use up all descriptors.
                oldest.close()
            if oldest.close_if_unused():
                return True
        unused = next(
            (
                connection
                for connection in self.connections
                if connection.is_between_commands and connection not in self.connections_without_request
            ),
            None,
        )
        if unused is None or now - unused.last_used_at <= EVICTABLE_AFTER_MS:
            return False
        return unused.close_if_unused()

    # ---- events of the connections ----

    def count_rejection(self, reason: str) -> None:
        """Count a rejected command or a closed connection under its reason, for the log."""
        self.rejections.count(reason)

    def on_request_received(self, connection: ClientConnection) -> None:
        """Remove a connection from those without a request."""
        self.connections_without_request.pop(connection, None)

    def on_reply_sent(self, connection: ClientConnection) -> None:
        """Make a connection the most recently used one."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection from all records."""
        self.connections.pop(connection, None)
        self.connections_without_request.pop(connection, None)
        if not self.connections:
            self.all_closed.set()

    def close_slowest_reader(self) -> None:
        """Close the client that has read nothing of its unsent replies for the longest time."""
        slowest = min(
            (connection for connection in self.connections if connection.replies.unsent),
            key=lambda connection: connection.replies.last_progress_at,
            default=None,
        )
        if slowest is not None:
            self.count_rejection("replies left unread")
            slowest.close()

    def sweep(self) -> None:
        """Enforce the timeouts of all connections and log rejections, now and every `SWEEP_INTERVAL_MS`."""
        now = now_ms()
        self._enforce_timeouts(now)
        self.rejections.write_if_due(self.address, now)
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def _enforce_timeouts(self, now: float) -> None:
        for connection in list(self.connections):
            connection.enforce_timeouts(now)

    # ---- shutdown ----

    def begin_shutdown(self) -> None:
        """Stop accepting connections, and close each connection as soon as its replies are sent.

        Connections in the kernel's queue are accepted first: their clients may have sent a request already,
        and closing the listening socket would reset the connections. Requests in transit have
        `FIRST_REQUEST_GRACE_MS` to arrive.
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
            self._enforce_timeouts_until_closed()

    def _enforce_timeouts_until_closed(self) -> None:
        """Enforce the timeouts more often than `sweep` does, until all connections are closed."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms())
        if self.connections:
            self.timers.call_at(now_ms() + SHUTDOWN_CHECK_INTERVAL_MS, self._enforce_timeouts_until_closed)

    def close(self) -> None:
        """Close all connections at the end of the process, after replying to commands that have arrived."""
        self.input_scheduler.lift_limit()
        for connection in list(self.connections):
            connection.close_after_last_read()
