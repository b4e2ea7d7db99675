"""Writing of requests to the non-blocking socket of a backend's connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable


class RequestWriter:
    """Writes one request at a time, and what the socket does not take of it once it takes more.

    The socket is driven directly rather than through a transport, because the outcome of an attempt depends
    on whether the last byte of its request has left the process.
    """

    __slots__ = ("_loop", "_on_write_failed", "_socket", "is_waiting_for_writable", "unsent")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection_socket: socket.socket,
        on_write_failed: Callable[[], None],
    ) -> None:
        """`on_write_failed` is called if the connection breaks before the last byte has left."""
        self._loop = loop
        self._socket = connection_socket
        self._on_write_failed = on_write_failed
        self.unsent = memoryview(b"")
        """What has not left yet of the request."""
        self.is_waiting_for_writable = False
        """Whether the rest waits until the socket takes more."""

    def write(self, request: bytes) -> None:
        """Write a request, as far as the socket takes it at once."""
        self.unsent = memoryview(request)
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._on_write_failed()
            return
        self.unsent = self.unsent[sent:]
        if bool(self.unsent) == self.is_waiting_for_writable:
            return
        self.is_waiting_for_writable = not self.is_waiting_for_writable
        if self.is_waiting_for_writable:
            self._loop.add_writer(self._socket.fileno(), self._flush)
        else:
            self._loop.remove_writer(self._socket.fileno())
