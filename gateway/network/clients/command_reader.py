"""Input of one client: receives bytes, cuts them into commands and bounds what is read ahead of them."""

from __future__ import annotations

import contextlib
import math
import select
import socket

from gateway.network.codecs.resp_commands import CommandParser
from gateway.network.timers import now_ms

from .memory import ClientMemory

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Most bytes that are received from a connection at once."""

MAX_READ_AHEAD_BYTES = 128 * 1024
"""Bytes that every connection may read beyond the commands taken, whatever all of them have read ahead.

A client's disconnect can be seen only behind all that it has sent before."""

COMMAND_TIMEOUT_MS = 2_000.0
"""Milliseconds from connecting, or from the first byte of a command, until the command has to be complete."""

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of `poll` that show that the client has closed, ended its sending or reset the connection."""


class ReceiveBuffer:
    """One buffer that all connections receive into; each copies out at once what it has received."""

    __slots__ = ("data", "view")

    def __init__(self) -> None:
        self.data = bytearray(RECEIVE_BUFFER_BYTES)
        self.view = memoryview(self.data)


class CommandReader:
    """Receives the bytes of one client and cuts them into commands.

    Times are milliseconds of `now_ms`.
    """

    __slots__ = (
        "_buffer",
        "_command_deadline",
        "_last_empty_read_at",
        "_memory",
        "_parser",
        "_reported_read_ahead_bytes",
        "_socket",
        "has_unparsed_input",
        "is_discarding_input",
    )

    def __init__(
        self, client_socket: socket.socket, buffer: ReceiveBuffer, memory: ClientMemory, connected_at: float
    ) -> None:
        self._socket = client_socket
        self._buffer = buffer
        self._memory = memory
        self._parser = CommandParser()
        self.has_unparsed_input = False
        self.is_discarding_input = False
        """Whether no further command is taken, and input is read only to detect the client's disconnect."""
        self._command_deadline: float | None = connected_at + COMMAND_TIMEOUT_MS  # None: between commands
        self._last_empty_read_at = -math.inf  # when all input had been read
        self._reported_read_ahead_bytes = 0  # the part of `ClientMemory.read_ahead_bytes` that is held here

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered of commands that are not taken yet; 0 only between commands."""
        return self._parser.buffered_bytes

    def is_within_read_ahead_limits(self) -> bool:
        """Whether more may be received without exceeding the bounds on what is read ahead.

        The disconnect of a client that pipelines many requests must be seen behind them: they would otherwise
        be forwarded one after another although no client waits for their replies.
        """
        return (
            self.is_discarding_input
            or self._parser.buffered_bytes <= MAX_READ_AHEAD_BYTES
            or self._memory.is_within_read_ahead_limit()
        )

    def receive(self) -> int | None:
        """Read once from the socket.

        Returns:
            As `io.RawIOBase.readinto`: the number of bytes; 0 if the client has closed or reset the
            connection or has ended its sending; None if nothing has come.
        """
        try:
            count = self._socket.recv_into(self._buffer.data)
        except (BlockingIOError, InterruptedError):
            self._last_empty_read_at = now_ms()
            return None
        except OSError:
            return 0
        if count and not self.is_discarding_input:
            self._parser.feed(self._buffer.view[:count])
            self.has_unparsed_input = True
            self.report_read_ahead()
        return count

    def next_command(self) -> list[bytes] | None:
        """Take the arguments of the next complete command; None if there is none yet.

        Raises:
            ProtocolError: the input is not a command; nothing after it can be understood either.
        """
        arguments = self._parser.next_command()
        if arguments is not None:
            self._command_deadline = None
            return arguments
        self.has_unparsed_input = False
        if not self._parser.buffered_bytes:
            self._command_deadline = None
        elif self._command_deadline is None:
            self._command_deadline = now_ms() + COMMAND_TIMEOUT_MS
        return None

    def is_command_overdue(self, now: float) -> bool:
        """Whether the client has begun a command, or just connected, and has not completed it in time."""
        return (
            self._command_deadline is not None
            and now > self._command_deadline
            and not self.is_discarding_input
        )

    def discard_input(self) -> None:
        """Take no further command, and drop what was read ahead."""
        self.is_discarding_input = True
        self._parser = CommandParser()

    def report_read_ahead(self) -> None:
        """Bring the total over all connections up to date with what is buffered here."""
        read_ahead_bytes = self._parser.buffered_bytes
        self._memory.change_read_ahead(read_ahead_bytes - self._reported_read_ahead_bytes)
        self._reported_read_ahead_bytes = read_ahead_bytes

    def close(self) -> None:
        """Drop all input, as the connection is closed."""
        self.discard_input()
        self.report_read_ahead()

    # ---- the client's disconnect ----

    def had_read_all_input_within(self, interval_ms: float, now: float) -> bool:
        """Whether all input had been read, and no disconnect seen, less than `interval_ms` before `now`."""
        return now - self._last_empty_read_at < interval_ms

    def is_disconnect_pending(self) -> bool:
        """Whether the system knows of a disconnect behind input that may not be read yet."""
        with contextlib.suppress(OSError):  # unknown to the system; the next send to the client fails
            poll = select.poll()
            poll.register(self._socket, select.POLLRDHUP)
            return any(event & DISCONNECT_EVENTS for _, event in poll.poll(0))
        return False
