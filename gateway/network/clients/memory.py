"""Memory that all client connections of a gateway use together, and the limits on it."""

from __future__ import annotations


class ClientMemory:
    """Counts the bytes buffered for all client connections: replies not sent yet, and input read ahead."""

    __slots__ = ("max_read_ahead_bytes", "max_unsent_bytes", "read_ahead_bytes", "unsent_bytes")

    def __init__(self, *, max_unsent_bytes: int, max_read_ahead_bytes: int) -> None:
        self.max_unsent_bytes = max_unsent_bytes
        self.max_read_ahead_bytes = max_read_ahead_bytes
        self.unsent_bytes = 0
        """Bytes of replies that are not sent yet."""
        self.read_ahead_bytes = 0
        """Bytes received that do not belong to a processed command yet."""

    def add_unsent(self, count: int) -> None:
        """Add `count` bytes of replies that are to be sent."""
        self.unsent_bytes += count

    def release_unsent(self, count: int) -> None:
        """Subtract `count` bytes of replies that were sent, or dropped because their connection is closed."""
        self.unsent_bytes -= count

    def change_read_ahead(self, change: int) -> None:
        """Add `change`, the difference between a connection's bytes read ahead and its last report."""
        self.read_ahead_bytes += change

    def is_within_read_ahead_limit(self) -> bool:
        """Return whether connections may read ahead beyond the amount that each is always allowed."""
        return self.read_ahead_bytes <= self.max_read_ahead_bytes

    def is_unsent_limit_exceeded(self) -> bool:
        """Return whether a client must be closed because clients leave too many bytes of replies unread."""
        return self.unsent_bytes > self.max_unsent_bytes
