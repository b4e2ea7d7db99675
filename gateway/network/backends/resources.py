"""Event loop, buffers, limits and statistics that the connections of one pool share."""

from __future__ import annotations

import asyncio

from .failure_log import FailureLog
from .idle_loss import IdleLossEstimator

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Maximum number of bytes read from a connection at once."""


class ReplyMemory:
    """Bounds the memory of the incomplete replies of all connections together."""

    __slots__ = ("_limit_bytes", "reserved_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.reserved_bytes = 0
        """Bytes of incomplete replies, of all connections together."""

    def reserve(self, count: int) -> bool:
        """Reserve `count` bytes, and return whether the total is within the limit.

        Bytes beyond the limit are reserved as well, so they must be released, too.
        """
        self.reserved_bytes += count
        return self.reserved_bytes <= self._limit_bytes

    def release(self, count: int) -> None:
        """Release `count` reserved bytes."""
        self.reserved_bytes -= count


class ConnectionResources:
    """Resources that the connections of one pool share."""

    __slots__ = (
        "connect_timeout_ms",
        "idle_loss",
        "loop",
        "receive_buffer",
        "receive_buffer_view",
        "reply_failures",
        "reply_memory",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout_ms: float, max_buffered_bytes: int
    ) -> None:
        self.loop = loop
        self.connect_timeout_ms = connect_timeout_ms
        self.reply_memory = ReplyMemory(max_buffered_bytes)
        self.idle_loss = IdleLossEstimator()
        self.reply_failures = FailureLog("reading replies of backends", "the connections were closed")
        self.receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)
        """One buffer for all connections: each copies what it has read before another one reads."""
        self.receive_buffer_view = memoryview(self.receive_buffer)
