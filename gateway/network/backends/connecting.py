"""Opens TCP connections to backends."""

from __future__ import annotations

import errno
import os
import socket

from gateway.errors import GatewayError
from gateway.network.address import Address

PENDING_CONNECT_RESULTS = (0, errno.EINPROGRESS)
"""Results of a non-blocking connect that has succeeded or is in progress."""


class BackendConnectError(GatewayError):
    """A connect to a backend could not be started, so nothing was sent.

    Attributes:
        reason: what the operating system reported.
    """

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(f"cannot connect to backend {address}: {reason}")
        self.reason = reason


def begin_connect(address: Address) -> socket.socket:
    """Open a non-blocking socket, start to connect it to a backend and return it.

    Raises:
        BackendConnectError: no socket could be opened, or the operating system rejected the connect at once.
    """
    try:
        new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise BackendConnectError(address, _reason_of(error)) from error
    try:
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        result = new_socket.connect_ex(address)
    except OSError as error:
        new_socket.close()
        raise BackendConnectError(address, _reason_of(error)) from error
    if result not in PENDING_CONNECT_RESULTS:
        new_socket.close()
        raise BackendConnectError(address, os.strerror(result))
    return new_socket


def _reason_of(error: OSError) -> str:
    return error.strerror or "unknown reason"
