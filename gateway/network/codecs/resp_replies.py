"""Parser of backends' replies: an array of value, usage figures and load report, or an error line.

Backends are not trusted. Only the types that the protocol uses are accepted, a length out of range is
rejected as soon as its header is parsed, and malformed usage figures or a malformed load report do not
invalidate the value before them.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from .resp import ProtocolError

MAX_VALUE_BYTES = 1024 * 1024
"""Maximum size of a value; backends send values well over the 64 KiB that the protocol allows."""

MAX_ERROR_BYTES = 1024
"""Maximum size of an error line, including its first byte and its line end."""

MAX_METADATA_BYTES = 4 * 1024
"""Maximum size of usage figures or of a load report on the wire."""

METADATA_FIELD_COUNT = 2
"""Number of fields after the value: usage figures and load report."""

MAX_HEADER_BYTES = 20
"""Upper bound on the bytes of the headers of an array and its value, including line ends."""

MAX_FIELD_HEADER_BYTES = 22
"""Size of the longest field header after the value: a negative integer of 18 digits with its line end."""

MAX_QUOTED_BYTES = 12
"""Maximum number of bytes of a malformed reply that the error message quotes."""

MALFORMED_FIELD = -1
"""Returned for a malformed field instead of the position after it."""

VALUE_HEADER = re.compile(rb"\*3\r\n\$(\d{1,7})\r\n")
PARTIAL_VALUE_HEADER = re.compile(rb"\*(?:3(?:\r(?:\n(?:\$(?:\d{0,7}|\d{1,7}\r))?)?)?)?")
FIELD_HEADER = re.compile(rb"\$-1\r\n|:-?\d{1,18}\r\n|\$(\d{1,5})\r\n")
PARTIAL_FIELD_HEADER = re.compile(rb"\$(?:-1?|-1\r|\d{0,5}|\d{1,5}\r)|:-?(?:\d{0,18}|\d{1,18}\r)")


class Reply(NamedTuple):
    """A backend's reply: a value or an error."""

    value: bytes | None
    """The value; None if the reply is an error line."""
    error: bytes
    """The error line without its first byte and its line end; empty if there is a value."""
    ends_cleanly: bool
    """Whether the reply was complete and nothing followed it: only then may its connection be reused."""


def parse_reply(data: bytearray) -> Reply | None:
    """Return the reply at the start of `data`, or None while it is incomplete.

    Raises:
        ProtocolError: `data` cannot become a reply, or one of its lengths is out of range.
    """
    if not data.startswith(b"-"):
        return _parse_value(data)
    end = data.find(b"\r\n", 0, MAX_ERROR_BYTES)
    if end >= 0:
        return Reply(None, bytes(data[1:end]), end + 2 == len(data))
    if len(data) >= MAX_ERROR_BYTES:
        raise ProtocolError(f"expected the end of an error line within {MAX_ERROR_BYTES} bytes, got none")
    return None


def _parse_value(data: bytearray) -> Reply | None:
    header = VALUE_HEADER.match(data)
    if header is None:
        if not PARTIAL_VALUE_HEADER.fullmatch(data[:MAX_HEADER_BYTES]):
            found = bytes(data[:MAX_QUOTED_BYTES])
            raise ProtocolError(f"expected an array with a value or an error line, got {found!r}")
        return None
    start = header.end()
    length = int(header[1])
    if length > MAX_VALUE_BYTES:
        raise ProtocolError(f"expected a value of at most {MAX_VALUE_BYTES} bytes, got one of {length}")
    end = start + length
    if len(data) < end + 2:
        return None
    if data[end : end + 2] != b"\r\n":
        found = bytes(data[end : end + 2])
        raise ProtocolError(f"expected a line end after a value of {length} bytes, got {found!r}")
    position = end + 2
    for _ in range(METADATA_FIELD_COUNT):
        field_end = _find_field_end(data, position)
        if field_end is None and len(data) - end <= MAX_METADATA_BYTES:
            return None
        if field_end is None or field_end == MALFORMED_FIELD:
            # The value itself is complete: only the fields after it are malformed.
            return Reply(bytes(memoryview(data)[start:end]), b"", False)
        position = field_end
    return Reply(bytes(memoryview(data)[start:end]), b"", position == len(data))


def _find_field_end(data: bytearray, position: int) -> int | None:
    """Return the position after the field at `position`, None if incomplete, or `MALFORMED_FIELD`."""
    if header := FIELD_HEADER.match(data, position):
        if header[1] is None:
            return header.end()
        length = int(header[1])
        end = header.end() + length
        if length > MAX_METADATA_BYTES or not b"\r\n".startswith(data[end : end + 2]):
            return MALFORMED_FIELD
        return end + 2 if len(data) >= end + 2 else None
    rest = data[position : position + MAX_FIELD_HEADER_BYTES]
    return None if not rest or PARTIAL_FIELD_HEADER.fullmatch(rest) else MALFORMED_FIELD
