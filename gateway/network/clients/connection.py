"""One connection of a client: processes commands and sends their replies in the same order.

The connection reads and writes its socket itself, without an asyncio transport. This bounds the memory that
a client can make the process use, and makes the client's disconnect detectable just before an attempt begins.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from gateway.network.codecs.resp import ProtocolError
from gateway.network.timers import now_ms

from .command_reader import CommandReader, ReceiveBuffer
from .input_scheduler import InputScheduler
from .memory import ClientMemory
from .paused_readers import PausedReaders
from .pending_reply import PendingReply, RequestHandler
from .reply_queue import ReplyQueue
from .request_parser import REQUEST_COMMANDS, InvalidRequestError, RequestParser
from .setup_commands import QUIT_COMMAND, reply_to_setup_command

IDLE_TIMEOUT_MS = 30_000.0
"""Milliseconds without use after which a connection is closed."""

FIRST_REQUEST_GRACE_MS = 100.0
"""Milliseconds that a new connection has for its first request, even if others wait to be accepted.

During a shutdown, this is the idle timeout of all connections."""

DISCONNECT_CHECK_INTERVAL_MS = 20.0
"""Milliseconds for which a client that was found to be connected is not checked for a disconnect again."""

MAX_CONSECUTIVE_READS = 64
"""Maximum number of reads from one connection in a row, so that a client that never stops sending does not
delay all others."""

PROTOCOL_ERROR_REPLY = b"-ERR protocol error\r\n"

DROPPED_REPLY = b"-ERR failed\r\n"
"""Sent in place of a reply for which there is no memory; its request may have run."""


class ConnectionOwner(Protocol):
    """The state that connections share, and the calls that notify the listener that accepted them."""

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    parser: RequestParser
    receive_buffer: ReceiveBuffer
    memory: ClientMemory
    input_scheduler: InputScheduler
    paused_readers: PausedReaders
    is_draining: bool  # whether each connection closes as soon as no reply is pending on it

    def count_rejection(self, reason: str, /) -> None:
        """Count a rejected command or a closed connection under its reason, for the log."""

    def on_request_received(self, connection: ClientConnection, /) -> None:
        """Record that a connection has sent a valid request."""

    def on_reply_sent(self, connection: ClientConnection, /) -> None:
        """Record that a connection was just used for a reply."""

    def on_closed(self, connection: ClientConnection, /) -> None:
        """Record that a connection is closed."""

    def close_slowest_reader(self) -> None:
        """Close the client that reads its replies most slowly, because unsent replies exceed their limit."""


class ClientConnection:
    """Processes a client's commands: replies to set-up commands, and passes requests to the handler."""

    def __init__(self, owner: ConnectionOwner, client_socket: socket.socket) -> None:
        self.owner = owner
        self.socket = client_socket
        self.fd = client_socket.fileno()
        self.last_used_at = now_ms()
        self.reader = CommandReader(client_socket, owner.receive_buffer, owner.memory, self.last_used_at)
        self.replies = ReplyQueue(client_socket, owner.memory, self.last_used_at)
        self.is_reading = False
        self.is_writing = False
        self.is_closed = False
        self._is_processing = False
        self._is_input_blocked = False
        self.update_reading()

    # ---- events of the socket ----

    def _on_readable(self) -> None:
        if self._receive():
            self.process_input()

    def _on_writable(self) -> None:
        self._send()
        self.process_input()

    def _receive(self) -> bool:
        """Read once from the socket, and return whether there was any data."""
        count = self.reader.receive()
        if count == 0:
            self.close()  # a client that only shuts down its sending side counts as disconnected, too
        return bool(count)

    @property
    def may_read(self) -> bool:
        """Whether the limits on memory allow the connection to receive more input."""
        return (
            not self.is_closed
            and self.replies.is_within_unsent_limit()
            and self.reader.is_within_read_ahead_limits()
        )

    def update_reading(self) -> None:
        """Receive input from now on if the limits on memory allow it; if not, stop until they do."""
        if self.is_closed:
            return
        self.reader.reserve_memory()
        has_memory = self.reader.is_within_read_ahead_limits()
        if not has_memory:
            self.owner.paused_readers.add(self)
        may_read = has_memory and self.replies.is_within_unsent_limit()
        if may_read == self.is_reading:
            return
        self.is_reading = may_read
        if may_read:
            self.owner.loop.add_reader(self.fd, self._on_readable)
        else:
            self.owner.loop.remove_reader(self.fd)

    def _update_writing(self) -> None:
        must_write = bool(self.replies.unsent)
        if must_write == self.is_writing:
            return
        self.is_writing = must_write
        if must_write:
            self.owner.loop.add_writer(self.fd, self._on_writable)
        else:
            self.owner.loop.remove_writer(self.fd)

    # ---- the client's disconnect ----

    def detect_disconnect(self) -> None:
        """Read all input that has arrived, and close the connection if the client has disconnected.

        The event loop handles sockets and timers in its own order: after the process has stalled, timers,
        responses of the counter and replies of backends may all be handled before the disconnect.
        """
        if self.reader.had_read_all_input_within(DISCONNECT_CHECK_INTERVAL_MS, now_ms()):
            return
        has_received = False
        for _ in range(MAX_CONSECUTIVE_READS):
            if not self.may_read or not self._receive():
                break
            has_received = True
        if has_received:
            self.process_input()
        self._poll_for_disconnect()

    def _poll_for_disconnect(self) -> None:
        """Close if the client has disconnected and the memory limits prevent reading up to the disconnect."""
        if not self.is_closed and not self.may_read and self.reader.is_disconnect_pending():
            self.close()

    # ---- commands ----

    def process_input(self) -> None:
        """Process commands and send replies until there is nothing more to do or a limit is reached.

        Replies that are completed together are sent together. Commands beyond this connection's part of the
        event loop's iteration are processed when `InputScheduler` calls again.
        """
        if self._is_processing or self.is_closed:
            return
        self._is_processing = True
        try:
            self._process_until_blocked()
            if self.owner.is_draining and self.is_between_commands and self._receive():
                self._process_until_blocked()  # this input arrived before the connection could be closed
        finally:
            self._is_processing = False
        if self.reader.is_discarding_input and self.is_idle:
            self._close_after_reading()  # the last reply has been sent
        if self.owner.is_draining and self.is_between_commands:
            self.close()
        self.reader.report_read_ahead()
        self.update_reading()
        self.owner.paused_readers.on_memory_released()

    def _process_until_blocked(self) -> None:
        self._send_replies()
        while self.reader.has_unparsed_input and self._process_commands():
            self._send_replies()

    def _may_process_command(self) -> bool:
        if not self.reader.has_unparsed_input:
            return False
        if self._is_blocked():
            self._is_input_blocked = True
            return False
        if self._is_input_blocked:
            self._is_input_blocked = False
            self.reader.restart_waiting_time()  # the wait for earlier replies does not count
        return self.owner.input_scheduler.claim_command(self)

    def _is_blocked(self) -> bool:
        return self.reader.is_discarding_input or self.is_closed or self.replies.is_full()

    def _process_commands(self) -> bool:
        """Process complete commands among the bytes received so far; return whether there were any."""
        has_processed = False
        try:
            while self._may_process_command():
                arguments = self.reader.next_command()
                if arguments is None:
                    break
                self._process_command(arguments)
                has_processed = True
        except ProtocolError as error:
            self._reject_input(f"malformed command: {error}")
            has_processed = True
        return has_processed

    def _process_command(self, arguments: list[bytes]) -> None:
        pending_reply = PendingReply(self, sum(map(len, arguments)))
        self.replies.add(pending_reply)
        command = arguments[0].upper()
        if command in REQUEST_COMMANDS:
            self._process_request(arguments, pending_reply)
            return
        pending_reply.complete(reply_to_setup_command(command, arguments))
        if command == QUIT_COMMAND:
            self.reader.discard_input()

    def _process_request(self, arguments: list[bytes], pending_reply: PendingReply) -> None:
        try:
            request = self.owner.parser.parse(arguments)
        except InvalidRequestError as error:
            reason = str(error)
            self.owner.count_rejection(reason)
            pending_reply.complete(b"-ERR %b\r\n" % reason.encode())
            return
        request.deduct_waiting_time(now_ms() - self.reader.waiting_since)
        self.owner.on_request_received(self)
        pending_reply.set_open_request(request.id)
        self.owner.handler.on_request(request, pending_reply)

    def _reject_input(self, reason: str) -> None:
        """End the connection with an error reply after the replies to earlier commands.

        Later input is discarded, as it cannot be distinguished from the rest of the malformed command.
        """
        self.replies.add(PendingReply.completed(self, PROTOCOL_ERROR_REPLY))
        self.reader.discard_input()
        self.owner.count_rejection(reason)

    # ---- replies ----

    def hold_reply(self, pending_reply: PendingReply, reply: bytes) -> bytes:
        """Return the reply to send; an error reply if `reply` has to wait and there is no memory for it."""
        if self.replies.hold(pending_reply, reply):
            return reply
        self.owner.count_rejection("no memory for a reply that waits for earlier ones")
        return DROPPED_REPLY

    def _send_replies(self) -> None:
        """Send the replies that are complete, in the order of the commands."""
        is_send_pending = bool(self.replies.unsent)
        if not self.replies.collect_completed():
            return
        if not is_send_pending:
            self._send()
        self.last_used_at = now_ms()
        self.owner.on_reply_sent(self)
        if self.owner.memory.is_unsent_limit_exceeded():
            self.owner.close_slowest_reader()

    def _send(self) -> None:
        try:
            self.replies.send()
        except OSError:
            self.close()
            return
        self._update_writing()

    # ---- closing ----

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no pending or unsent reply, and no input to process."""
        return self.replies.is_empty() and not self.reader.has_unparsed_input and not self.is_closed

    @property
    def is_between_commands(self) -> bool:
        """Whether the connection is idle and has received no part of a command.

        Only then may the connection be closed, as the first bytes of a command may become a request.
        """
        return self.is_idle and not self.reader.buffered_bytes

    def close_if_unused(self) -> bool:
        """Read the input that has arrived, and close unless a command has begun or a reply is not sent yet.

        Returns:
            Whether the connection is closed.
        """
        if self.is_between_commands:
            self._on_readable()
        if self.is_between_commands:
            self.close()
        return self.is_closed

    def enforce_timeouts(self, now: float) -> None:
        """End the connection if the client has exceeded a timeout; `now` is the result of `now_ms`."""
        idle_timeout_ms = FIRST_REQUEST_GRACE_MS if self.owner.is_draining else IDLE_TIMEOUT_MS
        if self.replies.is_reader_stalled(now):
            self.owner.count_rejection("replies left unread")
            self.close()
        elif self.replies.is_within_unsent_limit() and self.reader.is_command_overdue(now):
            self._reject_input("command incomplete at its deadline")
            self.process_input()
        elif now - self.last_used_at > idle_timeout_ms:
            self.close_if_unused()
        else:
            self.update_reading()  # other connections may have released memory
            self._poll_for_disconnect()

    def _close_after_reading(self) -> None:
        """Close once the input that has arrived is read: unread input would reset the connection.

        The client would then not receive the replies that were sent last.
        """
        for _ in range(MAX_CONSECUTIVE_READS):
            if self.is_closed or not self._receive():
                break
        self.close()

    def close_after_last_read(self) -> None:
        """Close at the end of the process, after replying to the commands that have arrived.

        Some may have been read before, and wait for their turn.
        """
        self._receive()
        self.process_input()
        self.close()

    def close(self) -> None:
        """Close immediately, and notify the handler of each request that has no reply yet."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.loop.remove_reader(self.fd)
        self.owner.loop.remove_writer(self.fd)
        self.socket.close()
        self.owner.input_scheduler.forget(self)
        self.owner.paused_readers.forget(self)
        self.owner.on_closed(self)
        self.reader.close()
        for pending_reply in self.replies.close():
            request_id = pending_reply.abandon()
            if request_id is not None:
                self.owner.handler.on_client_disconnected(request_id)
        self.owner.paused_readers.on_memory_released()
