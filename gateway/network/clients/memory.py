"""Memory that all client connections of a gateway use together, and the limits on it."""

from __future__ import annotations

COMPLETION_SHARE = 0.5
"""Fraction of the limit on clients' input that is kept for the completion of commands received in part."""

SCARCE_WAITING_REPLY_SHARE = 0.5
"""Fraction of the limit on waiting replies above which no connection should add to them."""


class ClientMemory:
    """Counts the bytes held for all client connections: replies not sent yet, and input.

    The input consists of what is read ahead, and of the commands that wait for their replies. A reply waits
    while an earlier command of its connection has no reply; after that, it counts as unsent.
    """

    __slots__ = (
        "_completion_bytes",
        "max_input_bytes",
        "max_unsent_bytes",
        "max_waiting_reply_bytes",
        "pending_command_bytes",
        "read_ahead_bytes",
        "reservable_bytes",
        "unsent_bytes",
        "waiting_reply_bytes",
    )

    def __init__(self, *, max_unsent_bytes: int, max_waiting_reply_bytes: int, max_input_bytes: int) -> None:
        self.max_unsent_bytes = max_unsent_bytes
        self.max_waiting_reply_bytes = max_waiting_reply_bytes
        self.max_input_bytes = max_input_bytes
        self._completion_bytes = int(max_input_bytes * COMPLETION_SHARE)
        self.reservable_bytes = max_input_bytes
        """Bytes that connections may reserve to complete their commands; negative if exceeded."""
        self.unsent_bytes = 0
        """Bytes of replies that are not sent yet."""
        self.waiting_reply_bytes = 0
        """Bytes of replies that are complete, but wait for an earlier reply."""
        self.read_ahead_bytes = 0
        """Bytes received that do not belong to a processed command yet."""
        self.pending_command_bytes = 0
        """Bytes of processed commands that wait for their replies."""

    def add_unsent(self, count: int) -> None:
        """Add `count` bytes of replies that are to be sent."""
        self.unsent_bytes += count

    def release_unsent(self, count: int) -> None:
        """Subtract `count` bytes of replies that were sent, or dropped because their connection is closed."""
        self.unsent_bytes -= count

    def can_hold_waiting_reply(self, count: int) -> bool:
        """Return whether a reply of `count` bytes may wait for an earlier one."""
        return self.waiting_reply_bytes + count <= self.max_waiting_reply_bytes

    def is_waiting_reply_memory_scarce(self) -> bool:
        """Return whether further replies that wait for earlier ones may soon find too little memory."""
        return self.waiting_reply_bytes > self.max_waiting_reply_bytes * SCARCE_WAITING_REPLY_SHARE

    def change_waiting_replies(self, change: int) -> None:
        """Add `change`: bytes of replies that now wait for earlier ones, or no longer do if negative."""
        self.waiting_reply_bytes += change

    def change_read_ahead(self, change: int) -> None:
        """Add `change`, the difference between a connection's bytes read ahead and its last report."""
        self.read_ahead_bytes += change
        self.reservable_bytes -= change

    def change_pending_commands(self, change: int) -> None:
        """Add `change`: bytes of commands that now wait for their replies, or no longer do if negative."""
        self.pending_command_bytes += change
        self.reservable_bytes -= change

    @property
    def read_ahead_bytes_left(self) -> int:
        """Bytes that connections may receive without a reservation; 0 or negative if none are left.

        The other part of the limit completes commands: if input of any kind could fill the memory, clients
        that have each sent a part of a large command would wait for each other.
        """
        return self.reservable_bytes - self._completion_bytes

    def is_unsent_limit_exceeded(self) -> bool:
        """Return whether a client must be closed because clients leave too many bytes of replies unread."""
        return self.unsent_bytes > self.max_unsent_bytes
