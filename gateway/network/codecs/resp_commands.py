"""Incremental parser of the commands that clients send: RESP2 arrays of bulk strings.

Clients are not trusted. A length out of range is rejected at its header, and what is buffered of an
unfinished command is bounded. A general RESP reader accepts far more: maps, sets, nested and endless arrays,
values of gigabytes.
"""

from __future__ import annotations

import re

from .resp import ProtocolError

MAX_ARGUMENTS = 16
"""Arguments of one command: a request has five at most, set-up commands of client libraries a few more."""

MAX_ARGUMENT_BYTES = 64 * 1024
"""One argument: the largest value that the protocol allows."""

MAX_COMMAND_BYTES = MAX_ARGUMENT_BYTES + 4 * 1024
"""All arguments of one command: one of the largest, and room for the rest."""

COMPACTION_THRESHOLD_BYTES = 32 * 1024
"""Parsed bytes that stay at the front of the buffer until they are deleted together, as each deletion moves
what follows."""

ARRAY_HEADER = re.compile(rb"\*(\d{1,6})\r\n")
BULK_STRING_HEADER = re.compile(rb"\$(\d{1,6})\r\n")
PARTIAL_HEADERS = {
    ARRAY_HEADER: re.compile(rb"\*(?:\d{0,6}|\d{1,6}\r)"),
    BULK_STRING_HEADER: re.compile(rb"\$(?:\d{0,6}|\d{1,6}\r)"),
}
"""For each header, what may still become one."""

MAX_HEADER_BYTES = 10
"""More than any header has, so that a line that never ends is known by its first bytes."""

UNKNOWN_LENGTH = -1


class CommandParser:
    """Cuts a client's bytes into commands."""

    __slots__ = (
        "_argument_length",
        "_arguments",
        "_arguments_left",
        "_buffer",
        "_command_bytes",
        "_position",
    )

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # in the buffer; what is before it has been parsed
        self._arguments: list[bytes] = []  # of the command that has begun
        self._arguments_left = 0  # 0 between commands
        self._argument_length = UNKNOWN_LENGTH  # of the next argument, once its header is parsed
        self._command_bytes = 0  # announced by the headers of the arguments so far

    def feed(self, data: bytes | memoryview) -> None:
        """Append bytes received from the client."""
        if self._position:
            self._compact()
        self._buffer += data

    def _compact(self) -> None:
        del self._buffer[: self._position]
        self._position = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept of commands that are not returned yet; 0 only between commands."""
        has_begun = 1 if self._arguments_left else 0
        return len(self._buffer) - self._position + self._command_bytes + has_begun

    def next_command(self) -> list[bytes] | None:
        """The arguments of the next complete command, None if there is none yet.

        Raises:
            ProtocolError: the client sent no array of bulk strings, or one that is too long. Nothing after it
                can be understood either.
        """
        buffer = self._buffer
        while True:
            if not self._arguments_left and not self._begin_command():
                return None
            if self._argument_length < 0 and not self._begin_argument():
                return None
            end = self._position + self._argument_length
            if len(buffer) < end + 2:
                return None
            if buffer[end : end + 2] != b"\r\n":
                raise ProtocolError("end of an argument")
            self._arguments.append(bytes(buffer[self._position : end]))
            self._position = end + 2
            self._argument_length = UNKNOWN_LENGTH
            self._arguments_left -= 1
            if not self._arguments_left:
                return self._finish_command()

    def _begin_command(self) -> bool:
        """Parse the header of a command; whether it is complete."""
        header = ARRAY_HEADER.match(self._buffer, self._position)
        if header is None:
            self._check_partial_header(ARRAY_HEADER)
            return False
        self._position = header.end()
        count = int(header[1])
        if not 0 < count <= MAX_ARGUMENTS:
            raise ProtocolError("number of arguments")
        self._arguments_left = count
        return True

    def _begin_argument(self) -> bool:
        """Parse the header of an argument; whether it is complete."""
        header = BULK_STRING_HEADER.match(self._buffer, self._position)
        if header is None:
            self._check_partial_header(BULK_STRING_HEADER)
            return False
        self._position = header.end()
        length = int(header[1])
        self._command_bytes += length
        if length > MAX_ARGUMENT_BYTES or self._command_bytes > MAX_COMMAND_BYTES:
            raise ProtocolError("length of an argument")
        self._argument_length = length
        return True

    def _check_partial_header(self, header: re.Pattern[bytes]) -> None:
        # A line that never ends, or that begins as no header does, is known by its first bytes.
        rest = self._buffer[self._position : self._position + MAX_HEADER_BYTES]
        if rest and not PARTIAL_HEADERS[header].fullmatch(rest):
            raise ProtocolError("not an array of bulk strings")

    def _finish_command(self) -> list[bytes]:
        arguments = self._arguments
        self._arguments = []
        self._command_bytes = 0
        if self._position > COMPACTION_THRESHOLD_BYTES:  # nothing may follow for long
            self._compact()
        return arguments
