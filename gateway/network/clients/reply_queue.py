"""Output of one client: keeps the replies in the order of the commands and sends them."""

from __future__ import annotations

import socket
from collections import deque

from gateway.network.timers import now_ms

from .memory import ClientMemory
from .pending_reply import PendingReply

MAX_PENDING_REPLIES = 32
"""Number of commands waiting for their replies at which a connection processes no further command."""

MAX_PENDING_COMMAND_BYTES = 128 * 1024
"""Bytes of commands waiting for their replies above which a connection processes no further command."""

MAX_UNSENT_BYTES = 128 * 1024
"""Bytes of unsent replies above which a connection reads no input and processes no command."""

SHORT_REPLY_BYTES = 256
"""Size up to which a reply may always wait for earlier ones; longer than any error line of this gateway."""

SLOW_READER_TIMEOUT_MS = 5_000.0
"""Milliseconds after which a client that reads none of the replies waiting to be sent is closed."""


class ReplyQueue:
    """The replies of one client that are pending, and those that are complete but not sent yet.

    Times are in milliseconds, as returned by `now_ms`.
    """

    __slots__ = (
        "_memory",
        "_pending_command_bytes",
        "_socket",
        "_waiting_bytes",
        "last_progress_at",
        "pending",
        "unsent",
    )

    def __init__(self, client_socket: socket.socket, memory: ClientMemory, connected_at: float) -> None:
        self._socket = client_socket
        self._memory = memory
        self.pending: deque[PendingReply] = deque()
        self._pending_command_bytes = 0  # sum over the commands in `pending`
        self._waiting_bytes = 0  # this connection's part of `ClientMemory.waiting_reply_bytes`
        self.unsent = bytearray()
        self.last_progress_at = connected_at
        """When the client last read some of its replies or had none to read."""

    def is_empty(self) -> bool:
        """Return whether no reply is pending or unsent."""
        return not self.pending and not self.unsent

    def is_within_unsent_limit(self) -> bool:
        """Return whether the client reads its replies fast enough for more of its input to be read."""
        return len(self.unsent) <= MAX_UNSENT_BYTES

    def is_full(self) -> bool:
        """Return whether no further command may be processed."""
        return (
            len(self.pending) >= MAX_PENDING_REPLIES
            or self._pending_command_bytes > MAX_PENDING_COMMAND_BYTES
            or len(self.unsent) > MAX_UNSENT_BYTES
            or (bool(self.pending) and self._memory.is_waiting_reply_memory_scarce())
        )

    def add(self, pending_reply: PendingReply) -> None:
        """Append the reply to the next command."""
        self._change_pending_command_bytes(pending_reply.command_bytes)
        self.pending.append(pending_reply)

    def hold(self, pending_reply: PendingReply, reply: bytes) -> bool:
        """Count a complete reply's memory if it has to wait; return whether there is enough for it."""
        is_next = not self.pending or self.pending[0] is pending_reply
        if is_next or len(reply) <= SHORT_REPLY_BYTES:
            return True
        if not self._memory.can_hold_waiting_reply(len(reply)):
            return False
        pending_reply.count_waiting_bytes(len(reply))
        self._change_waiting_bytes(len(reply))
        return True

    def collect_completed(self) -> bool:
        """Move the replies before the first incomplete one to `unsent`; return whether there were any."""
        completed: list[bytes] = []
        while self.pending and (reply := self.pending[0].reply) is not None:
            first = self.pending.popleft()
            self._change_pending_command_bytes(-first.command_bytes)
            if first.waiting_bytes:
                self._change_waiting_bytes(-first.waiting_bytes)
            completed.append(reply)
        if not completed:
            return False
        if not self.unsent:
            self.last_progress_at = now_ms()
        data = completed[0] if len(completed) == 1 else b"".join(completed)
        self.unsent += data
        self._memory.add_unsent(len(data))
        return True

    def send(self) -> None:
        """Send as many bytes as the system accepts without blocking.

        Raises:
            OSError: the connection is broken.
        """
        try:
            sent = self._socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            return
        if sent:
            self.last_progress_at = now_ms()
        del self.unsent[:sent]
        self._memory.release_unsent(sent)

    def is_reader_stalled(self, now: float) -> bool:
        """Return whether replies have been left unread too long."""
        return bool(self.unsent) and now - self.last_progress_at > SLOW_READER_TIMEOUT_MS

    def close(self) -> deque[PendingReply]:
        """Drop the replies that are not sent, as the connection is closed; return the pending ones."""
        self._memory.release_unsent(len(self.unsent))
        self.unsent = bytearray()
        self._change_pending_command_bytes(-self._pending_command_bytes)
        self._change_waiting_bytes(-self._waiting_bytes)
        pending = self.pending
        self.pending = deque()
        return pending

    def _change_pending_command_bytes(self, change: int) -> None:
        self._pending_command_bytes += change
        self._memory.change_pending_commands(change)

    def _change_waiting_bytes(self, change: int) -> None:
        self._waiting_bytes += change
        self._memory.change_waiting_replies(change)
