"""Connections to backends, from connect to close.

The sockets are used directly rather than through transports, for two reasons: the first byte of a request
must not be written after the end of a drain grace, and the connection of an abandoned attempt must be closed
before the next attempt is sent.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from gateway.errors import GatewayError
from gateway.network.codecs.resp_replies import Reply
from gateway.network.timers import now_ms
from gateway.policy.events import Outcome

from .attempt import BackendAttempt
from .connecting import begin_connect
from .endpoint import PooledEndpoint
from .reply_reader import ReplyReader, known_outcome_of
from .request_writer import RequestWriter
from .resources import ConnectionResources

MS_PER_S = 1000.0


class BackendConnection:
    """A connection to a backend, which carries at most one attempt at a time.

    Replies arrive in the order of the requests, so an attempt can be abandoned only by closing its
    connection. That would also end a second attempt on the connection.
    """

    __slots__ = (
        "_connect_timer",
        "_on_closed",
        "_reader",
        "address",
        "attempt",
        "endpoint",
        "fd",
        "idle_ms_before_request",
        "idle_since",
        "is_closed",
        "is_connected",
        "resources",
        "socket",
        "writer",
    )

    def __init__(
        self,
        resources: ConnectionResources,
        endpoint: PooledEndpoint,
        attempt: BackendAttempt,
        on_closed: Callable[[BackendConnection], None],
    ) -> None:
        """Start to connect; the attempt is sent once the connection is established.

        Raises:
            BackendConnectError: the connect could not be started; the caller has to end the attempt.
        """
        self.resources = resources
        self.endpoint = endpoint
        self.address = endpoint.address
        self.socket = begin_connect(self.address)
        self.fd = self.socket.fileno()
        self.writer = RequestWriter(resources.loop, self.socket, self._on_write_failed)
        self._reader = ReplyReader(resources.reply_memory)
        self._on_closed = on_closed
        self.is_connected = False
        self.is_closed = False
        self.idle_since = 0.0
        """When the last attempt ended, in milliseconds as returned by `now_ms`."""
        self.idle_ms_before_request: float | None = None
        """Milliseconds that the connection was idle before the current request; None if that is the first."""
        self.attempt: BackendAttempt | None = attempt
        attempt.attach_connection(self)
        self._connect_timer = resources.loop.call_later(
            resources.connect_timeout_ms / MS_PER_S, self._on_connect_timeout
        )
        resources.loop.add_writer(self.fd, self._on_connect_finished)

    # ---- connecting ----

    def _on_connect_timeout(self) -> None:
        """End the attempt, unless the connection is established.

        The connection may have been established in time while this process was delayed.
        """
        try:
            self.socket.getpeername()
        except OSError:
            self.close_and_end_attempt(Outcome.CONNECT_ERROR)
            return
        self._on_connect_finished()

    def _on_connect_finished(self) -> None:
        self.resources.loop.remove_writer(self.fd)
        self._connect_timer.cancel()
        if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close_and_end_attempt(Outcome.CONNECT_ERROR)
            return
        self.is_connected = True
        self.resources.loop.add_reader(self.fd, self._on_readable)
        if self.attempt is not None and self.attempt.detect_client_disconnect is not None:
            self.attempt.detect_client_disconnect()
        if not self.is_closed:
            self._send_request()

    # ---- sending ----

    def start(self, attempt: BackendAttempt) -> None:
        """Send an attempt on this idle connection."""
        self.idle_ms_before_request = now_ms() - self.idle_since
        self.attempt = attempt
        attempt.attach_connection(self)
        self._send_request()

    def _send_request(self) -> None:
        # Checked just before the first byte is written: while the connection was being established, the
        # deadline may have passed, or the drain grace or the deduplication window may have ended.
        attempt = self.attempt
        assert attempt is not None
        now = now_ms()
        if now >= min(attempt.deadline, attempt.start_before) or not self.endpoint.accepts_new_work(now):
            self._release()
            attempt.end(Outcome.NOT_STARTED if now >= attempt.deadline else Outcome.CONNECT_ERROR)
            return
        self.writer.write(attempt.encode_request(max(1, int(attempt.deadline - now))))

    def _on_write_failed(self) -> None:
        self.close_and_end_attempt(Outcome.CONNECT_ERROR)  # the request was not sent completely

    # ---- receiving ----

    def _on_readable(self) -> None:
        try:
            count = self.socket.recv_into(self.resources.receive_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            self._on_connection_lost()
        elif self.attempt is None:
            self._record_reply_failure("expected no bytes on an idle connection, got some")
            self.close()
        else:
            self._on_received(count)

    def _on_connection_lost(self) -> None:
        """End the attempt, as the backend has closed or reset the connection."""
        if self.attempt is not None and not self._reader.received:
            self.resources.idle_loss.record(self.idle_ms_before_request, is_lost=True)
        self.close_and_end_attempt(self.outcome_if_broken())

    def _on_received(self, count: int) -> None:
        """Handle `count` received bytes, which are at the start of the receive buffer."""
        resources = self.resources
        if not self._reader.received:
            resources.idle_loss.record(self.idle_ms_before_request, is_lost=False)
        try:
            reply = self._reader.feed(resources.receive_buffer_view[:count])
        except GatewayError as error:
            self._record_reply_failure(str(error))
            self.close_and_end_attempt(self.outcome_if_broken())
            return
        if reply is not None:
            self._on_reply(reply)

    def _on_reply(self, reply: Reply) -> None:
        self._reader.discard()
        known_outcome = known_outcome_of(reply)
        outcome = known_outcome or Outcome.FAILED
        is_request_sent = not self.writer.unsent
        if not is_request_sent and outcome is not Outcome.QUEUE_FULL:
            # A backend replies to an incomplete request only if its queue is full. Any other reply belongs to
            # another request, or is no reply at all.
            self.close_and_end_attempt(self.outcome_if_broken())
            return
        attempt = self.attempt
        assert attempt is not None
        if is_request_sent and known_outcome is not None and reply.ends_cleanly:
            self._release()
        else:
            # If the connection were reused, bytes after this reply would be taken for the next reply.
            self.attempt = None
            self._record_reply_failure(
                "expected a single valid reply, got an unknown error, an early reply or invalid bytes"
            )
            self.close()
        attempt.end(outcome, reply.value or b"")

    def _record_reply_failure(self, reason: str) -> None:
        self.resources.reply_failures.record(self.address, reason)

    # ---- closing ----

    def _release(self) -> None:
        """Return the connection to its endpoint, which keeps it for reuse or closes it."""
        self.attempt = None
        self.idle_since = now_ms()
        self.endpoint.release(self)

    def outcome_if_broken(self) -> Outcome:
        """Return the outcome that the attempt would have if the connection broke now.

        A request that was not sent completely cannot have run; any other may have.
        """
        if not self.is_connected or self.writer.unsent:
            return Outcome.CONNECT_ERROR
        return Outcome.CONNECTION_RESET

    def close_and_end_attempt(self, outcome: Outcome) -> None:
        """Close the connection, then end the attempt on it with `outcome`.

        The connection is closed first: the next attempt may be sent as soon as this one ends, and two
        attempts of a request must never be in flight together.
        """
        attempt = self.attempt
        self.attempt = None
        self.close()
        if attempt is not None:
            attempt.end(outcome)

    def close(self) -> None:
        """Close the connection without ending its attempt; further calls do nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self._reader.discard()
        self._connect_timer.cancel()
        self.resources.loop.remove_reader(self.fd)
        self.resources.loop.remove_writer(self.fd)
        self.socket.close()
        self.endpoint.remove_idle(self)
        self._on_closed(self)

    def is_alive(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes, as far as the kernel knows."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # the backend has closed the connection, or has sent bytes without a request
