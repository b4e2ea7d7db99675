"""Connections to backends, and the endpoints of the pool that they belong to.

The sockets are driven directly rather than through transports: the outcome of an attempt depends on whether
its last byte has left the process, the end of a drain grace holds at the first byte, and an attempt that is
abandoned must be closed before the next one is sent. `send` and `close` report and do that at once.
"""

from __future__ import annotations

import asyncio
import errno
import math
import re
import socket
from collections import Counter
from dataclasses import dataclass, field

from gateway.network.address import Address
from gateway.network.codecs.resp import ProtocolError
from gateway.network.codecs.resp_replies import Reply, parse_reply
from gateway.network.timers import now_ms
from gateway.policy.events import Outcome

from .attempt import BackendAttempt
from .idle_loss import IdleLossEstimator

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Most that is read from a connection at once."""

MS_PER_S = 1000.0

KNOWN_ERROR = re.compile(rb"(BUSY|ERR failed)(?: [!-~]{1,512})?")
"""Error lines that leave their connection usable; a load report may stand last."""


class ConnectionResources:
    """What the connections of one pool share: the event loop, buffers, bounds and counts."""

    __slots__ = (
        "buffered_bytes",
        "connect_timeout_ms",
        "idle_loss",
        "loop",
        "malformed_replies",
        "max_buffered_bytes",
        "open_connections",
        "receive_buffer",
        "received_view",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout_ms: float, max_buffered_bytes: int
    ) -> None:
        self.loop = loop
        self.connect_timeout_ms = connect_timeout_ms
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        """Bytes of incomplete replies, of all connections together."""
        self.idle_loss = IdleLossEstimator()
        self.open_connections: set[BackendConnection] = set()
        self.malformed_replies: Counter[str] = Counter()
        """Replies that cost their connection since the last sweep, by peer and reason."""
        self.receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)
        """One for all connections: each copies at once what it has read."""
        self.received_view = memoryview(self.receive_buffer)


@dataclass(eq=False, slots=True)
class PooledEndpoint:
    """A backend's endpoint in the pool: its address, its idle connections and the end of its drain grace."""

    address: Address
    idle_connections: list[BackendConnection] = field(default_factory=list)
    """The one used last stands at the end."""
    no_new_work_after: float = math.inf
    """When the grace for new work ends, on the clock of `now_ms`; infinite unless the backend is draining."""

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint list has reported the backend as draining or left it out."""
        return self.no_new_work_after < math.inf

    def accepts_new_work(self, now: float) -> bool:
        """Whether the first byte of an attempt may be written now."""
        return now < self.no_new_work_after

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection without an attempt for the next one, or close it if there will be none."""
        if self.is_draining or connection.address != self.address:
            connection.close()
            return
        connection.idle_since = now_ms()
        self.idle_connections.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Take a closed connection out of the idle ones, if it was idle."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle_connections):
            connection.close()


class BackendConnection:
    """One connection to a backend, with one attempt on it at a time.

    Replies come in order and abandoning means closing, so a second attempt would share the fate of the first.
    """

    __slots__ = (
        "_connect_timer",
        "address",
        "attempt",
        "endpoint",
        "fd",
        "idle_before_ms",
        "idle_since",
        "is_closed",
        "is_connected",
        "is_waiting_to_write",
        "received",
        "resources",
        "socket",
        "unsent",
    )

    def __init__(
        self, resources: ConnectionResources, endpoint: PooledEndpoint, attempt: BackendAttempt
    ) -> None:
        """Begin to connect; the attempt is sent once the connection is established.

        Raises:
            OSError: no socket could be had, or the system refused to connect at once.
        """
        self.resources = resources
        self.endpoint = endpoint
        self.address = endpoint.address
        self.attempt: BackendAttempt | None = attempt
        self.received = bytearray()
        """What has come of the reply."""
        self.unsent = memoryview(b"")
        self.is_connected = False
        self.is_closed = False
        self.is_waiting_to_write = False
        self.idle_since = 0.0
        self.idle_before_ms: float | None = None
        """How long the connection was idle before its last request; None: that was its first."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.fd = self.socket.fileno()
        attempt.connection = self
        self._begin_connect()
        loop = resources.loop
        self._connect_timer = loop.call_later(
            resources.connect_timeout_ms / MS_PER_S, self._on_connect_timeout
        )
        loop.add_writer(self.fd, self._on_connected)

    # ---- connecting ----

    def _begin_connect(self) -> None:
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_number = self.socket.connect_ex(self.address)
            if error_number not in (0, errno.EINPROGRESS):
                raise OSError(error_number, "connect")
        except OSError:
            self.socket.close()
            raise

    def _on_connect_timeout(self) -> None:
        """End the attempt, unless the connection came up in time while this process itself was held up."""
        try:
            self.socket.getpeername()
        except OSError:
            self.end(Outcome.CONNECT_ERROR)
            return
        self._on_connected()

    def _on_connected(self) -> None:
        self.resources.loop.remove_writer(self.fd)
        self._connect_timer.cancel()
        if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.end(Outcome.CONNECT_ERROR)
            return
        self.is_connected = True
        self.resources.loop.add_reader(self.fd, self._on_readable)
        if self.attempt is not None and self.attempt.detect_disconnect is not None:
            self.attempt.detect_disconnect()
        if not self.is_closed:
            self._send_request()

    # ---- sending ----

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on this idle connection."""
        self.idle_before_ms = now_ms() - self.idle_since
        self.attempt = attempt
        attempt.connection = self
        self._send_request()

    def _send_request(self) -> None:
        # The wait for a connection may have outlasted the request, the drain grace of a backend that began
        # to drain meanwhile, or the time in which a retry is recognised: all hold at the first byte.
        attempt = self.attempt
        assert attempt is not None
        now = now_ms()
        if now >= min(attempt.deadline, attempt.start_before) or not self.endpoint.accepts_new_work(now):
            self.attempt = None
            self.endpoint.release(self)
            attempt.end(Outcome.NOT_STARTED if now >= attempt.deadline else Outcome.CONNECT_ERROR)
            return
        self.unsent = memoryview(attempt.encode(max(1, int(attempt.deadline - now))))
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self.end(Outcome.CONNECT_ERROR)  # the last byte did not leave
            return
        self.unsent = self.unsent[sent:]
        if bool(self.unsent) == self.is_waiting_to_write:
            return
        self.is_waiting_to_write = not self.is_waiting_to_write
        if self.is_waiting_to_write:
            self.resources.loop.add_writer(self.fd, self._flush)
        else:
            self.resources.loop.remove_writer(self.fd)

    # ---- receiving ----

    def _on_readable(self) -> None:
        try:
            count = self.socket.recv_into(self.resources.receive_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            if self.attempt is not None and not self.received:
                self.resources.idle_loss.record(self.idle_before_ms, is_lost=True)
            self.end(self.break_outcome())
        elif self.attempt is None:
            self._count_malformed("bytes without a request")
            self.close()
        else:
            self._on_received(count)

    def _on_received(self, count: int) -> None:
        """Take in the first `count` bytes of the receive buffer."""
        resources = self.resources
        if not self.received:
            resources.idle_loss.record(self.idle_before_ms, is_lost=False)
        self.received += resources.received_view[:count]
        resources.buffered_bytes += count
        if resources.buffered_bytes > resources.max_buffered_bytes:
            self._count_malformed("incomplete replies exceed their memory")
            self.end(self.break_outcome())
            return
        try:
            reply = parse_reply(self.received)
        except ProtocolError as error:
            self._count_malformed(str(error))
            self.end(self.break_outcome())
            return
        if reply is not None:
            self._on_reply(reply)

    def _on_reply(self, reply: Reply) -> None:
        self._discard_received()
        is_known = True
        outcome = Outcome.OK
        if reply.value is None:
            known_error = KNOWN_ERROR.fullmatch(reply.error)
            is_known = known_error is not None
            is_busy = known_error is not None and known_error[1] == b"BUSY"
            outcome = Outcome.QUEUE_FULL if is_busy else Outcome.FAILED
        if self.unsent and outcome is not Outcome.QUEUE_FULL:
            # No backend replies to an incomplete request: it is another request's reply, or noise.
            self.end(self.break_outcome())
            return
        attempt = self.attempt
        assert attempt is not None
        self.attempt = None
        # Danger: what else comes on this connection would be taken for the reply to the next request.
        if is_known and reply.ends_cleanly and not self.unsent:
            self.endpoint.release(self)
        else:
            self._count_malformed("more than a reply, or an unknown error")
            self.close()
        attempt.end(outcome, reply.value or b"")

    def _count_malformed(self, reason: str) -> None:
        host, port = self.address
        self.resources.malformed_replies[f"{host}:{port} {reason}"] += 1

    def _discard_received(self) -> None:
        self.resources.buffered_bytes -= len(self.received)
        self.received = bytearray()

    # ---- the end ----

    def break_outcome(self) -> Outcome:
        """Return the outcome if the connection broke now.

        A request whose last byte has not left cannot have run; any other may have.
        """
        if not self.is_connected or self.unsent:
            return Outcome.CONNECT_ERROR
        return Outcome.CONNECTION_RESET

    def end(self, outcome: Outcome) -> None:
        """Close the connection, then end the attempt on it with `outcome`.

        The close comes first: two attempts of a request must never be under way together.
        """
        attempt = self.attempt
        self.attempt = None
        self.close()
        if attempt is not None:
            attempt.end(outcome)

    def close(self) -> None:
        """Close the connection without ending its attempt; further calls change nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self._discard_received()
        self._connect_timer.cancel()
        self.resources.loop.remove_reader(self.fd)
        self.resources.loop.remove_writer(self.fd)
        self.socket.close()
        self.resources.open_connections.discard(self)
        self.endpoint.forget(self)

    def is_alive(self) -> bool:
        """Whether an idle connection is still open and silent, as far as this machine has heard."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # the peer has closed it, or has sent bytes without a request
