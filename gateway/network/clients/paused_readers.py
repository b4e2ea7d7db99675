"""Connections that receive no input because there is no memory for it, and their resumption."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import Protocol

from .memory import ClientMemory

MAX_RESUMED_PER_ITERATION = 16
"""Maximum number of connections that check for memory in one iteration of the event loop."""


class PausedConnection(Protocol):
    """A connection that may receive input again later."""

    def update_reading(self) -> None:
        """Receive input from now on if the limits on memory allow it."""


class PausedReaders:
    """Lets the connections that wait for memory check for it as soon as others have released some.

    Those that still find too little wait behind the others.
    """

    __slots__ = ("_connections", "_is_resume_scheduled", "_loop", "_memory")

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ClientMemory) -> None:
        self._loop = loop
        self._memory = memory
        # The connections are keys of a dictionary, which preserves their order: the longest waiting first.
        self._connections: dict[PausedConnection, None] = {}
        self._is_resume_scheduled = False

    def add(self, connection: PausedConnection) -> None:
        """Let a connection wait for memory, unless it waits already."""
        self._connections[connection] = None

    def forget(self, connection: PausedConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(connection, None)

    def on_memory_released(self) -> None:
        """Let connections check for memory in the next iteration, if any wait and there is some."""
        is_needed = self._connections and self._memory.reservable_bytes > 0
        if is_needed and not self._is_resume_scheduled:
            self._is_resume_scheduled = True
            self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        self._is_resume_scheduled = False
        for connection in list(islice(self._connections, MAX_RESUMED_PER_ITERATION)):
            del self._connections[connection]
            connection.update_reading()
