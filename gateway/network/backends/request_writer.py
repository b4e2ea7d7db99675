"""Writes requests to the non-blocking socket of a connection to a backend."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

NOTHING_UNSENT = memoryview(b"")


class RequestWriter:
    """Writes one request at a time; bytes that the socket does not accept at once are written later.

    The bytes of a request are kept only until all of them are written.

    The socket is used directly rather than through a transport, because the outcome of an attempt depends
    on whether the last byte of its request has left the process.
    """

    __slots__ = ("_loop", "_on_write_failed", "_socket", "is_waiting_for_writable", "unsent")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection_socket: socket.socket,
        on_write_failed: Callable[[], None],
    ) -> None:
        """`on_write_failed` is called if the connection breaks before the request is sent completely."""
        self._loop = loop
        self._socket = connection_socket
        self._on_write_failed = on_write_failed
        self.unsent = NOTHING_UNSENT
        """The part of the request that has not been sent yet."""
        self.is_waiting_for_writable = False
        """Whether the rest of the request waits until the socket is writable."""

    def write(self, request: bytes) -> None:
        """Write a request: what the socket accepts now, and the rest when it is writable again."""
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
        # An empty slice would keep the bytes of the complete request.
        self.unsent = self.unsent[sent:] if sent < len(self.unsent) else NOTHING_UNSENT
        if bool(self.unsent) == self.is_waiting_for_writable:
            return
        self.is_waiting_for_writable = not self.is_waiting_for_writable
        if self.is_waiting_for_writable:
            self._loop.add_writer(self._socket.fileno(), self._flush)
        else:
            self._loop.remove_writer(self._socket.fileno())
