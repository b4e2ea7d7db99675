"""Parser of backends' replies: an array of value, usage figures and load report, or an error line.

Backends are not trusted. Only the types that the protocol uses are accepted, and a length out of range is
rejected as soon as its header is parsed. The value is accepted only if the fields after it are framed
correctly: a wrong length takes bytes of these fields into the value, or leaves bytes of the value among them.
Usage figures or a load report that are framed correctly but cannot be read do not invalidate the value.
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
"""Maximum size of the content of usage figures or of a load report."""

METADATA_FIELD_COUNT = 2
"""Number of fields after the value: usage figures and load report."""

MAX_HEADER_BYTES = 20
"""Upper bound on the bytes of the headers of an array and its value, including line ends."""

MAX_FIELD_LINE_BYTES = MAX_METADATA_BYTES + 3
"""Size of the longest line that can begin a field after the value: type, content and line end."""

MAX_QUOTED_BYTES = 12
"""Maximum number of bytes of a malformed reply that the error message quotes."""

VALUE_HEADER = re.compile(rb"\*3\r\n\$(\d{1,7})\r\n")
PARTIAL_VALUE_HEADER = re.compile(rb"\*(?:3(?:\r(?:\n(?:\$(?:\d{0,7}|\d{1,7}\r))?)?)?)?")
FIELD_HEADER = re.compile(rb"\$-1\r\n|:-?\d{1,18}\r\n|\$(\d{1,5})\r\n")
UNREADABLE_FIELD = re.compile(rb"[:+][^\r\n]{0,%d}\r\n" % MAX_METADATA_BYTES)
"""Pattern of a field that is framed correctly by its line end, but is no integer."""
PARTIAL_FIELD_LINE = re.compile(
    rb"\$(?:-1?|-1\r|\d{0,5}|\d{1,5}\r)|[:+][^\r\n]{0,%d}\r?" % MAX_METADATA_BYTES
)


class Reply(NamedTuple):
    """A backend's reply: a value or an error."""

    value: bytes | None
    """The value; None if the reply is an error line."""
    error: bytes
    """The error line without its first byte and its line end; empty if there is a value."""
    ends_cleanly: bool
    """Whether every field was readable and nothing followed: only then may the connection be reused."""


class MetadataField(NamedTuple):
    """A field after the value, whose content is not used."""

    end: int
    """Position after the field."""
    is_readable: bool
    """Whether the field has a type that the protocol defines for it."""


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
    is_readable = True
    for _ in range(METADATA_FIELD_COUNT):
        field = _parse_metadata_field(data, position)
        if field is None:
            return None
        position = field.end
        is_readable = is_readable and field.is_readable
    return Reply(bytes(memoryview(data)[start:end]), b"", is_readable and position == len(data))


def _parse_metadata_field(data: bytearray, position: int) -> MetadataField | None:
    """Return the field at `position`, or None while it is incomplete.

    Raises:
        ProtocolError: no field can begin at `position`, or its length is out of range or does not fit.
    """
    if header := FIELD_HEADER.match(data, position):
        if header[1] is None:
            return MetadataField(header.end(), is_readable=True)
        return _parse_bulk_field(data, header.end(), int(header[1]))
    if unreadable := UNREADABLE_FIELD.match(data, position):
        return MetadataField(unreadable.end(), is_readable=False)
    rest = data[position : position + MAX_FIELD_LINE_BYTES]
    if rest and not PARTIAL_FIELD_LINE.fullmatch(rest):
        found = bytes(rest[:MAX_QUOTED_BYTES])
        raise ProtocolError(f"expected usage figures or a load report after the value, got {found!r}")
    return None


def _parse_bulk_field(data: bytearray, start: int, length: int) -> MetadataField | None:
    """Return the field whose content of `length` bytes begins at `start`, or None while it is incomplete."""
    if length > MAX_METADATA_BYTES:
        raise ProtocolError(f"expected a field of at most {MAX_METADATA_BYTES} bytes, got one of {length}")
    end = start + length
    line_end = data[end : end + 2]
    if not b"\r\n".startswith(line_end):
        raise ProtocolError(f"expected a line end after a field of {length} bytes, got {bytes(line_end)!r}")
    return MetadataField(end + 2, is_readable=True) if len(line_end) == 2 else None
