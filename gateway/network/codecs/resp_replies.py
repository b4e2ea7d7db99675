"""Parser of backends' replies: an array of value, usage figures and load report, or an error line.

Backends are not trusted. Only the protocol's own forms are read, a length out of range is rejected at its
header, and a malformed figure or report does not cost the value before it.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from .resp import ProtocolError

MAX_VALUE_BYTES = 1024 * 1024
"""Longest value that is taken; backends send values well over the 64 KiB that the protocol names."""

MAX_ERROR_BYTES = 1024
"""Longest error line, with its first and last bytes."""

MAX_METADATA_BYTES = 4 * 1024
"""Longest usage figures or load report, as they are on the wire."""

METADATA_FIELDS = 2
"""Usage figures and load report, the fields behind the value."""

LONGEST_HEADER_BYTES = 20
"""More than the longest array and value header with its line ends."""

LONGEST_FIELD_HEADER_BYTES = 22
"""Longest header of a field behind the value: a negative integer of 18 digits with its line end."""

UNREADABLE = -1
"""In place of the end of a field that has none of the known forms."""

VALUE_HEADER = re.compile(rb"\*3\r\n\$(\d{1,7})\r\n")
PARTIAL_VALUE_HEADER = re.compile(rb"\*(?:3(?:\r(?:\n(?:\$(?:\d{0,7}|\d{1,7}\r))?)?)?)?")
FIELD_HEADER = re.compile(rb"\$-1\r\n|:-?\d{1,18}\r\n|\$(\d{1,5})\r\n")
PARTIAL_FIELD_HEADER = re.compile(rb"\$(?:-1?|-1\r|\d{0,5}|\d{1,5}\r)|:-?(?:\d{0,18}|\d{1,18}\r)")


class Reply(NamedTuple):
    """A backend's reply: a value or an error."""

    value: bytes | None
    """The value; None if the reply is an error line."""
    error: bytes
    """The error line without its first byte and its line end; empty beside a value."""
    ends_cleanly: bool
    """Whether the reply was whole and nothing followed it: only then may its connection be used again."""


def parse_reply(data: bytearray) -> Reply | None:
    """Return the reply that `data` begins with, None while it is incomplete.

    Raises:
        ProtocolError: `data` cannot become a reply, or one of its lengths is out of range.
    """
    if not data.startswith(b"-"):
        return _parse_value(data)
    end = data.find(b"\r\n", 0, MAX_ERROR_BYTES)
    if end >= 0:
        return Reply(None, bytes(data[1:end]), end + 2 == len(data))
    if len(data) >= MAX_ERROR_BYTES:
        raise ProtocolError("error line without an end")
    return None


def _parse_value(data: bytearray) -> Reply | None:
    header = VALUE_HEADER.match(data)
    if header is None:
        if not PARTIAL_VALUE_HEADER.fullmatch(data[:LONGEST_HEADER_BYTES]):
            raise ProtocolError("not a reply")
        return None
    start = header.end()
    length = int(header[1])
    if length > MAX_VALUE_BYTES:
        raise ProtocolError("length of the value")
    end = start + length
    if len(data) < end + 2:
        return None
    if data[end : end + 2] != b"\r\n":
        raise ProtocolError("end of the value")
    position = end + 2
    for _ in range(METADATA_FIELDS):
        field_end = _find_field_end(data, position)
        if field_end is None and len(data) - end <= MAX_METADATA_BYTES:
            return None
        if field_end is None or field_end == UNREADABLE:
            # The value is complete and what belongs behind it follows; only that cannot be read.
            return Reply(bytes(memoryview(data)[start:end]), b"", False)
        position = field_end
    return Reply(bytes(memoryview(data)[start:end]), b"", position == len(data))


def _find_field_end(data: bytearray, position: int) -> int | None:
    """Return where the field at `position` ends: None while it is incomplete, else perhaps `UNREADABLE`."""
    if header := FIELD_HEADER.match(data, position):
        if header[1] is None:
            return header.end()
        length = int(header[1])
        end = header.end() + length
        if length > MAX_METADATA_BYTES or not b"\r\n".startswith(data[end : end + 2]):
            return UNREADABLE
        return end + 2 if len(data) >= end + 2 else None
    rest = data[position : position + LONGEST_FIELD_HEADER_BYTES]
    return None if not rest or PARTIAL_FIELD_HEADER.fullmatch(rest) else UNREADABLE
