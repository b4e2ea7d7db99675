"""Output of one client: keeps the replies in the order of the commands and sends them."""

from __future__ import annotations

import socket
from collections import deque

from gateway.network.timers import now_ms

from .memory import ClientMemory
from .pending_reply import PendingReply

MAX_PENDING_REPLIES = 32
"""Commands of one connection that may wait for their replies before no further one is taken."""

MAX_PENDING_COMMAND_BYTES = 128 * 1024
"""Bytes of the commands that wait for their replies before no further one is taken."""

MAX_UNSENT_BYTES = 128 * 1024
"""Bytes of replies that a client may leave unread before no more is read from it."""

SLOW_READER_TIMEOUT_MS = 5_000.0
"""Milliseconds that a client may leave replies unread without taking any byte of them."""


class ReplyQueue:
    """The replies of one client that are pending, and those that are complete but not sent yet."""

    __slots__ = ("_memory", "_pending_command_bytes", "_socket", "last_progress_at", "pending", "unsent")

    def __init__(self, client_socket: socket.socket, memory: ClientMemory, connected_at: float) -> None:
        self._socket = client_socket
        self._memory = memory
        self.pending: deque[PendingReply] = deque()
        self._pending_command_bytes = 0  # of the commands in `pending`
        self.unsent = bytearray()
        self.last_progress_at = connected_at
        """When the client last took some of its replies, in milliseconds of `now_ms`."""

    def is_empty(self) -> bool:
        """Whether no reply is pending or unsent."""
        return not self.pending and not self.unsent

    def is_within_unsent_limit(self) -> bool:
        """Whether the client takes its replies fast enough to be read further."""
        return len(self.unsent) <= MAX_UNSENT_BYTES

    def is_full(self) -> bool:
        """Whether no further command may be taken."""
        return (
            len(self.pending) >= MAX_PENDING_REPLIES
            or self._pending_command_bytes > MAX_PENDING_COMMAND_BYTES
            or len(self.unsent) > MAX_UNSENT_BYTES
        )

    def add(self, pending_reply: PendingReply) -> None:
        """Append the reply of the next command."""
        self._pending_command_bytes += pending_reply.command_bytes
        self.pending.append(pending_reply)

    def collect_completed(self) -> bool:
        """Move the replies before the first one that is still pending to the bytes to be sent.

        Returns:
            Whether there were any.
        """
        completed: list[bytes] = []
        while self.pending and (reply := self.pending[0].reply) is not None:
            self._pending_command_bytes -= self.pending.popleft().command_bytes
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
        """Send what the system takes at once.

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
        """Whether the client has left replies unread for too long; `now` is of `now_ms`."""
        return bool(self.unsent) and now - self.last_progress_at > SLOW_READER_TIMEOUT_MS

    def close(self) -> deque[PendingReply]:
        """Drop what is unsent, as the connection is closed, and return the replies that are pending."""
        self._memory.release_unsent(len(self.unsent))
        self.unsent = bytearray()
        pending = self.pending
        self.pending = deque()
        return pending
