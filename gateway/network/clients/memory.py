"""Memory that all client connections of a gateway hold together, and the bounds on it."""

from __future__ import annotations


class ClientMemory:
    """Bytes held for clients over all connections: replies not sent yet, and input read ahead."""

    __slots__ = ("max_read_ahead_bytes", "max_unsent_bytes", "read_ahead_bytes", "unsent_bytes")

    def __init__(self, *, max_unsent_bytes: int, max_read_ahead_bytes: int) -> None:
        self.max_unsent_bytes = max_unsent_bytes
        self.max_read_ahead_bytes = max_read_ahead_bytes
        self.unsent_bytes = 0
        """Bytes of replies that clients have not taken yet."""
        self.read_ahead_bytes = 0
        """Bytes received that are not part of a command taken for execution yet."""

    def add_unsent(self, count: int) -> None:
        """Count bytes of replies that are to be sent."""
        self.unsent_bytes += count

    def release_unsent(self, count: int) -> None:
        """Take off bytes that were counted by `add_unsent`, as they were sent or their client has gone."""
        self.unsent_bytes -= count

    def change_read_ahead(self, change: int) -> None:
        """Count what one connection has read ahead more, or less, than it last reported."""
        self.read_ahead_bytes += change

    def is_within_read_ahead_limit(self) -> bool:
        """Whether connections may read further ahead than the part that each of them has for itself."""
        return self.read_ahead_bytes <= self.max_read_ahead_bytes

    def is_unsent_limit_exceeded(self) -> bool:
        """Whether a client has to be closed for the replies that are not read."""
        return self.unsent_bytes > self.max_unsent_bytes
