"""Incremental parser of the commands that clients send: RESP2 arrays of bulk strings.

Clients are not trusted: a length out of range is rejected as soon as its header is parsed, and the
buffered bytes of an incomplete command are bounded.
"""

from __future__ import annotations

import re

from .resp import ProtocolError

MAX_ARGUMENTS = 16
"""Maximum number of arguments of a command.

A request has up to five, and set-up commands of client libraries have a few more.
"""

MAX_ARGUMENT_BYTES = 64 * 1024
"""Maximum size of an argument: that of the largest value that the protocol allows."""

MAX_COMMAND_BYTES = MAX_ARGUMENT_BYTES + 4 * 1024
"""Maximum size of all arguments of a command together: a value of maximum size and the other arguments."""

LINE_END = b"\r\n"

ARRAY_HEADER = re.compile(rb"\*(\d{1,6})\r\n")
BULK_STRING_HEADER = re.compile(rb"\$(\d{1,6})\r\n")
PARTIAL_HEADERS = {
    ARRAY_HEADER: re.compile(rb"\*(?:\d{0,6}|\d{1,6}\r)"),
    BULK_STRING_HEADER: re.compile(rb"\$(?:\d{0,6}|\d{1,6}\r)"),
}
"""Patterns of input that may still become a header, by the pattern of that header."""

MAX_HEADER_BYTES = 10
"""Number of bytes of an incomplete header that are checked: more than the longest header has, so that a line
that never ends is rejected early."""

UNKNOWN_LENGTH = -1
"""Used as the length of an argument whose header is not parsed yet."""


class CommandParser:
    """Splits the bytes of one client into commands."""

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
        self._position = 0  # index in `_buffer`; all bytes before it have been parsed
        self._arguments: list[bytes] = []  # arguments parsed so far of the incomplete command
        self._arguments_left = 0  # arguments still to parse of the incomplete command; 0 between commands
        self._argument_length = UNKNOWN_LENGTH  # length of the next argument, once its header is parsed
        self._command_bytes = 0  # sum of the lengths in the argument headers parsed so far

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
        """Bytes of commands that are buffered and not returned yet; 0 only between commands."""
        unparsed_bytes = len(self._buffer) - self._position
        if not self._arguments_left:
            return unparsed_bytes
        parsed_bytes = self._command_bytes - max(0, self._argument_length)
        return unparsed_bytes + parsed_bytes + 1  # 1 for the header, which alone begins a command

    @property
    def missing_bytes(self) -> int:
        """Bytes that have to be received to complete the current argument; 0 if its length is not known."""
        if self._argument_length < 0:
            return 0
        return max(0, self._position + self._argument_length + len(LINE_END) - len(self._buffer))

    def next_command(self) -> list[bytes] | None:
        """Return the arguments of the next complete command, or None if there is none yet.

        Raises:
            ProtocolError: the client sent something other than an array of bulk strings, or one that is too
                long. The message is one of a few fixed texts, because rejections are counted by text.
        """
        buffer = self._buffer
        while True:
            if not self._arguments_left and not self._parse_command_header():
                return None
            if self._argument_length < 0 and not self._parse_argument_header():
                return None
            end = self._position + self._argument_length
            if len(buffer) < end + len(LINE_END):
                return None
            if buffer[end : end + len(LINE_END)] != LINE_END:
                raise ProtocolError("expected a line end after an argument")
            self._arguments.append(bytes(buffer[self._position : end]))
            self._position = end + len(LINE_END)
            self._argument_length = UNKNOWN_LENGTH
            self._arguments_left -= 1
            if not self._arguments_left:
                return self._finish_command()

    def _parse_command_header(self) -> bool:
        """Parse the header of a command, and return whether it is complete."""
        header = ARRAY_HEADER.match(self._buffer, self._position)
        if header is None:
            self._check_partial_header(ARRAY_HEADER)
            return False
        self._position = header.end()
        count = int(header[1])
        if not 0 < count <= MAX_ARGUMENTS:
            raise ProtocolError("number of arguments out of range")
        self._arguments_left = count
        return True

    def _parse_argument_header(self) -> bool:
        """Parse the header of an argument, and return whether it is complete."""
        header = BULK_STRING_HEADER.match(self._buffer, self._position)
        if header is None:
            self._check_partial_header(BULK_STRING_HEADER)
            return False
        self._position = header.end()
        length = int(header[1])
        self._command_bytes += length
        if length > MAX_ARGUMENT_BYTES or self._command_bytes > MAX_COMMAND_BYTES:
            raise ProtocolError("length of an argument out of range")
        self._argument_length = length
        return True

    def _check_partial_header(self, header: re.Pattern[bytes]) -> None:
        """Raise ProtocolError for input that cannot become this header, even before the end of its line."""
        rest = self._buffer[self._position : self._position + MAX_HEADER_BYTES]
        if rest and not PARTIAL_HEADERS[header].fullmatch(rest):
            raise ProtocolError("expected an array of bulk strings")

    def _finish_command(self) -> list[bytes]:
        arguments = self._arguments
        self._arguments = []
        self._command_bytes = 0
        # `feed` compacts, too, but the next input may arrive much later. A bytearray moves its other bytes
        # only once the deleted ones are the majority, so deletions after each command take linear time.
        self._compact()
        return arguments
