"""The part of RESP2 that the fake backends and the load generator need.

The peers are the gateways of the run, so the input is hardly validated.
"""

from __future__ import annotations

from .errors import ProtocolError

CRLF = b"\r\n"


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    bulk_strings = (b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)
    return b"*%d\r\n" % len(arguments) + b"".join(bulk_strings)


class CommandReader:
    """Splits a byte stream into commands."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add received bytes, and return the commands that they complete."""
        self._buffer += data
        commands = []
        while (parsed := parse_command(self._buffer)) is not None:
            command, end = parsed
            commands.append(command)
            self._buffer = self._buffer[end:]
        return commands


def parse_command(data: bytes) -> tuple[list[bytes], int] | None:
    """Return the first command and the offset of its end, or None while it is incomplete.

    Raises:
        ProtocolError: the data does not start with a command.
    """
    head_end = data.find(CRLF)
    if head_end < 0:
        return None
    if not data.startswith(b"*"):
        found = data[:head_end].decode(errors="replace")
        raise ProtocolError(f"expected a RESP command (an array) from a gateway, got {found!r}")
    arguments = []
    position = head_end + len(CRLF)
    for _ in range(int(data[1:head_end])):
        size_end = data.find(CRLF, position)
        if size_end < 0:
            return None
        start = size_end + len(CRLF)
        end = start + int(data[position + 1 : size_end])
        position = end + len(CRLF)
        if len(data) < position:
            return None
        arguments.append(data[start:end])
    return arguments, position


def parse_reply(data: bytes) -> bytes | None:
    """Return a gateway's reply, or None while it is incomplete.

    A bulk string is returned as `$` and its value, any other reply as its first line, with its type byte.
    """
    head_end = data.find(CRLF)
    if head_end < 0:
        return None
    if not data.startswith(b"$"):
        return data[:head_end]
    start = head_end + len(CRLF)
    end = start + int(data[1:head_end])
    return b"$" + data[start:end] if len(data) >= end + len(CRLF) else None
