"""Input of one client: receives bytes, splits them into commands and bounds the input read ahead."""

from __future__ import annotations

import contextlib
import math
import select
import socket

from gateway.network.codecs.resp_commands import CommandParser
from gateway.network.timers import now_ms

from .memory import ClientMemory

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Maximum number of bytes received from a connection in one read."""

GUARANTEED_READ_AHEAD_BYTES = 2 * 1024
"""Bytes buffered up to which each connection may always read as many bytes again, even if the limit on the
input of all connections together is reached: commands without a large value are never kept waiting."""

COMMAND_TIMEOUT_MS = 2_000.0
"""Milliseconds until a command must be complete, from its first byte or, for the first, from the connect."""

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of `poll` for a client that has closed or reset the connection, or shut down its sending side."""


class ReceiveBuffer:
    """A buffer that all connections share; each copies its input out of the buffer right after a read."""

    __slots__ = ("data", "view")

    def __init__(self) -> None:
        self.data = bytearray(RECEIVE_BUFFER_BYTES)
        self.view = memoryview(self.data)


class CommandReader:
    """Receives the bytes of one client and splits them into commands.

    Times are in milliseconds, as returned by `now_ms`.
    """

    __slots__ = (
        "_buffer",
        "_command_deadline",
        "_last_empty_read_at",
        "_memory",
        "_parser",
        "_reported_read_ahead_bytes",
        "_reserved_bytes",
        "_socket",
        "has_unparsed_input",
        "is_discarding_input",
        "waiting_since",
    )

    def __init__(
        self, client_socket: socket.socket, buffer: ReceiveBuffer, memory: ClientMemory, connected_at: float
    ) -> None:
        self._socket = client_socket
        self._buffer = buffer
        self._memory = memory
        self._parser = CommandParser()
        self.has_unparsed_input = False
        self.waiting_since = connected_at
        """When the unparsed input began to wait for its processing."""
        self.is_discarding_input = False
        """Whether no further command is processed, and input is read only to detect a disconnect."""
        self._command_deadline: float | None = connected_at + COMMAND_TIMEOUT_MS  # None between commands
        self._last_empty_read_at = -math.inf  # when a read last found no input
        self._reserved_bytes = 0  # bytes that may be buffered to complete the current command
        self._reported_read_ahead_bytes = 0  # this connection's part of `ClientMemory.read_ahead_bytes`

    @property
    def buffered_bytes(self) -> int:
        """Bytes of commands that are buffered and not processed yet; 0 only between commands."""
        return self._parser.buffered_bytes

    def is_within_read_ahead_limits(self) -> bool:
        """Return whether more input may be received without exceeding the limits on the input of all clients.

        A client may disconnect after pipelining many requests. The gateway must read ahead to detect this:
        it would otherwise forward the requests one after another although no client waits for their replies.
        """
        return (
            self.is_discarding_input
            or self._memory.read_ahead_bytes_left > 0
            or self._parser.buffered_bytes < max(GUARANTEED_READ_AHEAD_BYTES, self._reserved_bytes)
        )

    def _max_receive_bytes(self) -> int:
        """Return the maximum number of bytes of one read, so that the limits are kept."""
        unreserved_bytes = self._memory.read_ahead_bytes_left
        if self.is_discarding_input or unreserved_bytes >= RECEIVE_BUFFER_BYTES:
            return RECEIVE_BUFFER_BYTES
        reserved_bytes_left = self._reserved_bytes - self._parser.buffered_bytes
        allowed_bytes = max(GUARANTEED_READ_AHEAD_BYTES, reserved_bytes_left, unreserved_bytes)
        return min(RECEIVE_BUFFER_BYTES, allowed_bytes)

    def receive(self) -> int | None:
        """Read once from the socket.

        Returns:
            The number of bytes received; 0 if the client has closed or reset the connection or has shut
            down its sending side; None if no input is available. `io.RawIOBase.readinto` returns the same.
        """
        try:
            count = self._socket.recv_into(self._buffer.data, self._max_receive_bytes())
        except (BlockingIOError, InterruptedError):
            self._last_empty_read_at = now_ms()
            return None
        except OSError:
            return 0
        if count and not self.is_discarding_input:
            self._parser.feed(self._buffer.view[:count])
            if not self.has_unparsed_input:
                self.restart_waiting_time()
            self.has_unparsed_input = True
            self.report_read_ahead()
        return count

    def restart_waiting_time(self) -> None:
        """Count the time that the unparsed input waits for its processing from now on."""
        self.waiting_since = now_ms()

    def next_command(self) -> list[bytes] | None:
        """Return the arguments of the next complete command, or None if there is none yet.

        Raises:
            ProtocolError: the input is not a command; nothing after it can be parsed either.
        """
        arguments = self._parser.next_command()
        if arguments is not None:
            self._command_deadline = None
            self.has_unparsed_input = self._parser.buffered_bytes > 0
            self._reserved_bytes = 0
            return arguments
        self.has_unparsed_input = False
        if not self._parser.buffered_bytes:
            self._command_deadline = None
        elif self._command_deadline is None:
            self._command_deadline = now_ms() + COMMAND_TIMEOUT_MS
        return None

    def is_command_overdue(self, now: float) -> bool:
        """Return whether the client has missed the deadline for completing its first or current command."""
        return (
            self._command_deadline is not None
            and now > self._command_deadline
            and not self.is_discarding_input
            and not self.has_unparsed_input
        )

    def discard_input(self) -> None:
        """Stop processing commands, and drop the input read ahead."""
        self.is_discarding_input = True
        self.has_unparsed_input = False
        self._reserved_bytes = 0
        self._parser = CommandParser()

    def reserve_memory(self) -> None:
        """Reserve memory for the rest of a command received in part, unless there is too little for it."""
        if self._command_deadline is None or self._reserved_bytes:
            return  # no command has begun, or its memory is reserved
        missing_bytes = self._parser.missing_bytes
        if 0 < missing_bytes <= self._memory.reservable_bytes:
            self._reserved_bytes = self._parser.buffered_bytes + missing_bytes
            self.report_read_ahead()

    def report_read_ahead(self) -> None:
        """Update the total of all connections by the change in the bytes buffered or reserved here."""
        read_ahead_bytes = max(self._parser.buffered_bytes, self._reserved_bytes)
        self._memory.change_read_ahead(read_ahead_bytes - self._reported_read_ahead_bytes)
        self._reported_read_ahead_bytes = read_ahead_bytes

    def close(self) -> None:
        """Drop all input when the connection is closed."""
        self.discard_input()
        self.report_read_ahead()

    # ---- the client's disconnect ----

    def had_read_all_input_within(self, interval_ms: float, now: float) -> bool:
        """Return whether a read found no input and no disconnect less than `interval_ms` before `now`."""
        return now - self._last_empty_read_at < interval_ms

    def is_disconnect_pending(self) -> bool:
        """Return whether the operating system reports a disconnect, even one behind unread input."""
        with contextlib.suppress(OSError):  # the system rejects the socket; the next send fails
            poll = select.poll()
            poll.register(self._socket, select.POLLRDHUP)
            return any(event & DISCONNECT_EVENTS for _, event in poll.poll(0))
        return False
