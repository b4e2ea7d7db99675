"""One connection of a client: its commands in, their replies out in the same order.

The socket is driven directly, so that what a client may make the process hold is bounded, and so that its
disconnect can be looked for at the moment an attempt is about to begin.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import socket
from collections import Counter, deque
from typing import Protocol

from gateway.network.codecs.resp import ProtocolError, encode_bulk_string
from gateway.network.codecs.resp_commands import CommandParser
from gateway.network.timers import now_ms

from .pending_reply import PendingReply, RequestHandler
from .request_parser import REQUEST_COMMANDS, InvalidRequestError, RequestParser

MAX_PENDING_REPLIES = 32
"""Commands of one connection that may wait for their replies before it takes no further one."""

MAX_PENDING_COMMAND_BYTES = 128 * 1024
"""Bytes of these commands, likewise."""

MAX_READ_AHEAD_BYTES = 128 * 1024
"""Bytes read beyond the commands taken, as only at their end can it be seen that the client has disconnected.

Every connection may read so many ahead, and more while all together stay within the listener's bound."""

MAX_UNSENT_BYTES = 128 * 1024
"""Bytes of replies that a client may leave unread before it is read no further."""

COMMAND_TIMEOUT_MS = 2_000.0
"""From connecting, or from a command's first byte, until that command has to be complete."""

SLOW_READER_TIMEOUT_MS = 5_000.0
"""How long a client may leave replies unread without taking any of them."""

IDLE_TIMEOUT_MS = 30_000.0
"""An unused connection is closed after this long."""

FIRST_REQUEST_GRACE_MS = 100.0
"""How long a new connection may take to send something, however short capacity is."""

DISCONNECT_CHECK_INTERVAL_MS = 20.0
"""A client that had not disconnected so short ago is not checked again."""

MAX_READS_PER_DISCONNECT_CHECK = 64
"""So that a client that never stops sending does not hold up all others."""

SETUP_COMMANDS = {b"CLIENT", b"SELECT"}
"""Commands of connection set-up that client libraries send; they change nothing here."""


class ConnectionOwner(Protocol):
    """What connections share and tell the listener that accepted them."""

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    parser: RequestParser
    receive_buffer: bytearray  # for one `recv_into`: each connection copies out at once what it has received
    receive_view: memoryview
    rejection_counts: Counter[str]
    is_draining: bool  # connections close as soon as nothing is open on them
    unsent_bytes: int  # of replies that clients have not taken yet, over all connections
    max_unsent_bytes: int
    read_ahead_bytes: int  # received and not taken as commands yet, over all connections
    max_read_ahead_bytes: int

    def on_request_received(self, connection: ClientConnection, /) -> None:
        """A connection has sent a valid request."""

    def on_reply_sent(self, connection: ClientConnection, /) -> None:
        """A connection has just been used."""

    def on_closed(self, connection: ClientConnection, /) -> None:
        """A connection is closed."""

    def close_slowest_reader(self) -> None:
        """Unsent replies exceed the bound."""


class ClientConnection:
    """Reads commands, answers those of connection set-up and hands requests to the handler."""

    def __init__(self, owner: ConnectionOwner, accepted: socket.socket) -> None:
        self.owner = owner
        self.socket = accepted
        self.fd = accepted.fileno()
        self.command_parser = CommandParser()
        self.has_unparsed_input = False
        self.pending_replies: deque[PendingReply] = deque()
        self.pending_command_bytes = 0  # of the commands in `pending_replies`
        self.send_buffer = bytearray()
        self.reported_read_ahead_bytes = 0  # this connection's part of the owner's `read_ahead_bytes`
        self.is_reading = False
        self.is_writing = False
        self.is_finishing = False  # takes no further command, and closes after its last reply
        self.is_closed = False
        self._is_processing = False
        self.last_used_at = now_ms()
        self.last_progress_at = self.last_used_at  # when the client last took some of its replies
        self.command_deadline: float | None = self.last_used_at + COMMAND_TIMEOUT_MS  # None: between commands
        self._last_empty_read_at = -math.inf  # when all had been read that had come
        self._update_reading()

    # ---- events of the socket ----

    def _on_readable(self) -> None:
        if self._receive():
            self.process_input()

    def _on_writable(self) -> None:
        self._send()
        self.process_input()

    def _receive(self) -> bool:
        """Read once from the socket; whether there was any data."""
        try:
            count = self.socket.recv_into(self.owner.receive_buffer)
        except (BlockingIOError, InterruptedError):
            self._last_empty_read_at = now_ms()
            return False
        except OSError:
            count = 0
        if not count:
            self.close()  # a client that closes has disconnected, also if it only ends its sending
        elif not self.is_finishing:  # else it is read only to detect its disconnect
            self.command_parser.feed(self.owner.receive_view[:count])
            self.has_unparsed_input = True
            self._report_read_ahead()
        return count > 0

    def detect_disconnect(self) -> None:
        """Read all that has come, and close if the client has disconnected.

        The event loop reports it in an order of its own: where this process was held up, timers, the
        counter's replies and the backends' replies may all come before it.
        """
        if now_ms() - self._last_empty_read_at < DISCONNECT_CHECK_INTERVAL_MS:
            return
        has_received = False
        for _ in range(MAX_READS_PER_DISCONNECT_CHECK):
            if not self.may_read or not self._receive():
                break
            has_received = True
        if has_received:
            self.process_input()
        self._poll_for_disconnect()

    def _poll_for_disconnect(self) -> None:
        """Where nothing more may be read, ask the system for a disconnect that has come behind it."""
        if self.is_closed or self.may_read:
            return
        with contextlib.suppress(OSError):  # it may not know; then the next send tells
            poll = select.poll()
            poll.register(self.fd, select.POLLRDHUP)
            if any(event & (select.POLLRDHUP | select.POLLHUP | select.POLLERR) for _, event in poll.poll(0)):
                self.close()

    @property
    def may_read(self) -> bool:
        """Whether the bounds on memory allow to receive more."""
        # Danger: the disconnect of a client that pipelines many requests lies behind them. Not read that far,
        # they would be forwarded one after another for nobody.
        has_capacity = (
            self.command_parser.buffered_bytes <= MAX_READ_AHEAD_BYTES
            or self.owner.read_ahead_bytes <= self.owner.max_read_ahead_bytes
        )
        return (
            len(self.send_buffer) <= MAX_UNSENT_BYTES
            and (self.is_finishing or has_capacity)
            and not self.is_closed
        )

    def _update_reading(self) -> None:
        may_read = self.may_read
        if self.is_closed or may_read == self.is_reading:
            return
        self.is_reading = may_read
        if may_read:
            self.owner.loop.add_reader(self.fd, self._on_readable)
        else:
            self.owner.loop.remove_reader(self.fd)

    def _report_read_ahead(self) -> None:
        read_ahead_bytes = 0 if self.is_closed else self.command_parser.buffered_bytes
        self.owner.read_ahead_bytes += read_ahead_bytes - self.reported_read_ahead_bytes
        self.reported_read_ahead_bytes = read_ahead_bytes

    # ---- commands ----

    def process_input(self) -> None:
        """Take commands and send replies as far as both go; replies completed together are sent together."""
        if self._is_processing or self.is_closed:
            return
        self._is_processing = True
        try:
            self._process_until_blocked()
            if self.owner.is_draining and self.is_between_commands and self._receive():
                self._process_until_blocked()  # it had come before this connection could be closed
        finally:
            self._is_processing = False
        if (self.is_idle and self.is_finishing) or (self.is_between_commands and self.owner.is_draining):
            self.close()
        self._report_read_ahead()
        self._update_reading()

    def _process_until_blocked(self) -> None:
        self._send_replies()
        while self.has_unparsed_input and not self._is_blocked():
            self._take_commands()
            self._send_replies()

    def _is_blocked(self) -> bool:
        return (
            self.is_finishing
            or self.is_closed
            or len(self.pending_replies) >= MAX_PENDING_REPLIES
            or self.pending_command_bytes > MAX_PENDING_COMMAND_BYTES
            or len(self.send_buffer) > MAX_UNSENT_BYTES
        )

    def _take_commands(self) -> None:
        """Take the complete commands among the bytes received so far."""
        try:
            while not self._is_blocked():
                arguments = self.command_parser.next_command()
                if arguments is None:
                    self.has_unparsed_input = False
                    self._update_command_deadline()
                    return
                self.command_deadline = None
                self._take_command(arguments)
        except ProtocolError as error:
            self._reject_input(str(error))

    def _update_command_deadline(self) -> None:
        if not self.command_parser.buffered_bytes:
            self.command_deadline = None
        elif self.command_deadline is None:
            self.command_deadline = now_ms() + COMMAND_TIMEOUT_MS

    def _take_command(self, arguments: list[bytes]) -> None:
        pending_reply = PendingReply(self, sum(map(len, arguments)))
        self.pending_command_bytes += pending_reply.command_bytes
        self.pending_replies.append(pending_reply)
        command = arguments[0].upper()
        if command in REQUEST_COMMANDS:
            self._take_request(arguments, pending_reply)
        elif command == b"PING":
            pending_reply.complete(encode_bulk_string(arguments[1]) if len(arguments) > 1 else b"+PONG\r\n")
        elif command in SETUP_COMMANDS:
            pending_reply.complete(b"+OK\r\n")
        elif command == b"QUIT":
            pending_reply.complete(b"+OK\r\n")
            self._stop_taking_commands()
        else:
            pending_reply.complete(b"-ERR unknown command\r\n")

    def _take_request(self, arguments: list[bytes], pending_reply: PendingReply) -> None:
        try:
            request = self.owner.parser.parse(arguments)
        except InvalidRequestError as error:
            reason = str(error)
            self.owner.rejection_counts[reason] += 1
            pending_reply.complete(b"-ERR %b\r\n" % reason.encode())
            return
        self.owner.on_request_received(self)
        pending_reply.open_request_id = request.id
        self.owner.handler.on_request(request, pending_reply)

    def _reject_input(self, reason: str) -> None:
        # What follows can't be told from the rest of a command; earlier requests still get their replies.
        pending_reply = PendingReply(self)
        pending_reply.is_completed = True
        pending_reply.reply = b"-ERR protocol error\r\n"
        self.pending_replies.append(pending_reply)
        self._stop_taking_commands()
        self.owner.rejection_counts[reason] += 1

    def _stop_taking_commands(self) -> None:
        self.is_finishing = True
        self.command_parser = CommandParser()  # what was read ahead is not answered any more

    # ---- replies ----

    def _send_replies(self) -> None:
        """Send the replies that are complete, in the order of the commands."""
        replies: list[bytes] = []
        while self.pending_replies and self.pending_replies[0].reply is not None:
            pending_reply = self.pending_replies.popleft()
            self.pending_command_bytes -= pending_reply.command_bytes
            replies.append(pending_reply.reply or b"")
        if not replies or self.is_closed:
            return
        unsent_before = len(self.send_buffer)
        self.send_buffer += replies[0] if len(replies) == 1 else b"".join(replies)
        self.owner.unsent_bytes += len(self.send_buffer) - unsent_before
        if not unsent_before:
            self.last_progress_at = now_ms()
            self._send()
        self.owner.on_reply_sent(self)
        if self.owner.unsent_bytes > self.owner.max_unsent_bytes:
            self.owner.close_slowest_reader()

    def _send(self) -> None:
        try:
            sent = self.socket.send(self.send_buffer)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self.close()
            return
        if sent:
            self.last_progress_at = now_ms()
        del self.send_buffer[:sent]
        self.owner.unsent_bytes -= sent
        if bool(self.send_buffer) != self.is_writing:
            self.is_writing = not self.is_writing
            if self.is_writing:
                self.owner.loop.add_writer(self.fd, self._on_writable)
            else:
                self.owner.loop.remove_writer(self.fd)

    # ---- closing ----

    @property
    def is_idle(self) -> bool:
        """Whether no reply is pending or unsent on an open connection."""
        return not self.pending_replies and not self.send_buffer and not self.is_closed

    @property
    def is_between_commands(self) -> bool:
        """Whether it may be closed; a part of a command may be a request's."""
        return self.is_idle and not self.command_parser.buffered_bytes

    def close_if_unused(self) -> bool:
        """Close unless something is open here, also what has come and was not read yet.

        Returns:
            Whether the connection is closed.
        """
        if self.is_between_commands:
            self._on_readable()
        if self.is_between_commands:
            self.close()
        return self.is_closed

    def enforce_timeouts(self, now: float) -> None:
        """End what the client has begun and does not go on with; `now` is in milliseconds, as of `now_ms`."""
        idle_timeout_ms = FIRST_REQUEST_GRACE_MS if self.owner.is_draining else IDLE_TIMEOUT_MS
        if self.send_buffer and now - self.last_progress_at > SLOW_READER_TIMEOUT_MS:
            self.owner.rejection_counts["replies left unread"] += 1
            self.close()
        elif self._is_command_overdue(now):
            self._reject_input("command incomplete at its deadline")
            self.process_input()
        elif now - self.last_used_at > idle_timeout_ms:
            self.close_if_unused()
        else:
            self._update_reading()  # others may have left capacity
            self._poll_for_disconnect()

    def _is_command_overdue(self, now: float) -> bool:
        return (
            self.command_deadline is not None
            and now > self.command_deadline
            and not self.is_finishing
            and self.is_reading
        )

    def close_after_last_read(self) -> None:
        """Close at the end of the process, once what has come until now is answered."""
        self._on_readable()
        self.close()

    def close(self) -> None:
        """Close at once; the handler is notified of each request that has no reply yet."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.loop.remove_reader(self.fd)
        self.owner.loop.remove_writer(self.fd)
        self.socket.close()
        self.owner.on_closed(self)
        self.owner.unsent_bytes -= len(self.send_buffer)
        self.send_buffer = bytearray()
        self._report_read_ahead()
        pending_replies = self.pending_replies
        self.pending_replies = deque()
        for pending_reply in pending_replies:
            pending_reply.is_completed = True
            if pending_reply.open_request_id is not None:
                self.owner.handler.on_client_disconnected(pending_reply.open_request_id)
