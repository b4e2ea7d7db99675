"""Incremental JSON parsing: splits a byte stream into objects, and parses a long array in batches.

Each object ends at the end of a line, and may be indented over several lines. An object of several megabytes
is not copied again for each piece that arrives, and its array is parsed in batches, so that the event loop
can run between two batches.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterator
from typing import Any

from gateway.errors import GatewayError

MAX_OBJECT_BYTES = 64 * 1024 * 1024
"""Maximum size of an object."""

MAX_OBJECT_LINES = 1_000_000
"""Maximum number of lines of an indented object."""

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
"""Pattern of a JSON string, which does not extend over several lines."""

_WHITESPACE = re.compile(r"[ \t\r\n]*")
_WHITESPACE_CHARACTERS = frozenset(" \t\r\n")

_parse_value = json.JSONDecoder().raw_decode
"""Parses the JSON value at a position of a text; returns the value and the position after it."""


class JsonStreamError(GatewayError, ValueError):
    """Raised for data that is not a complete JSON object or exceeds the size limits."""


class JsonObjectReader:
    """Splits a stream into the texts of its objects; blank lines between objects are skipped."""

    __slots__ = (
        "_closing_braces",
        "_line_pieces",
        "_lines",
        "_object_prefix",
        "_open_braces",
        "_opening_braces",
        "_size_bytes",
    )

    def __init__(self, object_prefix: bytes) -> None:
        """Create a reader; each single-line object, and no other line, begins with `object_prefix`."""
        self._object_prefix = object_prefix
        self._lines: list[bytes] = []  # complete lines of the incomplete object
        self._line_pieces: list[bytes] = []  # pieces of the incomplete line
        self._opening_braces = 0  # of the incomplete line, with those in strings
        self._closing_braces = 0  # likewise
        self._open_braces = 0  # of the incomplete object
        self._size_bytes = 0  # of the incomplete object

    def feed(self, data: bytes) -> list[bytes]:
        """Return the texts of the objects that `data` completes.

        Raises JsonStreamError for an object that is cut short or too long.
        """
        complete: list[bytes] = []
        for number, piece in enumerate(data.split(b"\n")):
            if number and (text := self._end_line()):
                complete.append(text)
            if piece:
                self._line_pieces.append(piece)
                self._size_bytes += len(piece)
                self._opening_braces += piece.count(b"{")
                self._closing_braces += piece.count(b"}")
        if self._size_bytes > MAX_OBJECT_BYTES or len(self._lines) > MAX_OBJECT_LINES:
            raise JsonStreamError(
                f"expected a JSON object of at most {MAX_OBJECT_BYTES} bytes and {MAX_OBJECT_LINES} lines, "
                f"got {self._size_bytes} bytes and {len(self._lines)} lines of an incomplete one"
            )
        return complete

    def end(self) -> list[bytes]:
        """Return the text of the object that the end of the stream completes, in a list that may be empty.

        Raises JsonStreamError for an object that is cut short.
        """
        text = self._end_line() if self._line_pieces else b""
        if self._lines:
            raise JsonStreamError("expected the rest of a JSON object, got the end of the stream")
        return [text] if text else []

    def _end_line(self) -> bytes:
        """End the current line, and return the text of the object that ends with it; empty if none does."""
        line = b"".join(self._line_pieces)
        self._line_pieces = []
        is_blank = not line or line.isspace()
        begins_object = line.startswith(self._object_prefix)
        # An object that was cut short must not be joined with the objects after it.
        if self._lines and (is_blank or begins_object):
            raise JsonStreamError("expected the rest of a JSON object, got a blank line or the next object")
        if not is_blank:
            self._lines.append(line)
            if self._opening_braces or self._closing_braces:
                self._open_braces += self._take_open_braces(line, is_object_likely=begins_object)
            if self._open_braces > 0:
                return b""
        text = b"\n".join(self._lines)
        self._lines = []
        self._open_braces = 0
        self._size_bytes = 0
        return text

    def _take_open_braces(self, line: bytes, *, is_object_likely: bool) -> int:
        """Return how many more braces the current line opens than it closes, and reset its counts.

        Braces within strings do not count. A line of several megabytes is not searched for strings if it is
        likely a complete object and its braces are balanced.
        """
        opening, closing = self._opening_braces, self._closing_braces
        self._opening_braces = self._closing_braces = 0
        if (is_object_likely and opening == closing) or b'"' not in line:
            return opening - closing
        line = _STRING.sub(b"", line)
        return line.count(b"{") - line.count(b"}")


def iterate_array(text: str, array_name: str, batch_size: int, fields: dict[str, Any]) -> Iterator[list[Any]]:
    """Yield the items of the array `array_name` of an object, in batches of `batch_size`.

    All other members of the object are added to `fields` as they are reached.

    Raises JsonStreamError if the text is malformed, and RecursionError if it is nested too deeply.
    """
    try:
        position = _skip_delimiter(text, _skip_whitespace(text, 0), "{")
        while text[position] != "}":
            name, position = _parse_value(text, position)
            if not isinstance(name, str):
                raise JsonStreamError(f"expected a member name before position {position}, got {name!r:.40}")
            position = _skip_delimiter(text, _skip_whitespace(text, position), ":")
            if name == array_name and text[position] == "[":
                position = yield from _iterate_items(text, position + 1, batch_size)
            else:
                fields[name], position = _parse_value(text, position)
            position = _find_next_item(text, position, "}")
    except JsonStreamError:
        raise
    except IndexError as error:
        raise JsonStreamError(
            f"expected the rest of a JSON object, got the end of the text at position {len(text)}"
        ) from error
    except (ValueError, TypeError) as error:
        raise JsonStreamError(f"expected a JSON value: {type(error).__name__}: {error}") from error
    end = _skip_whitespace(text, position + 1)
    if end < len(text):
        raise JsonStreamError(f"expected nothing after a JSON object, got {text[end]!r} at position {end}")


def _iterate_items(text: str, start: int, batch_size: int) -> Generator[list[Any], None, int]:
    """Yield batches of an array's items, which begin at `start`, and return the position after the array."""
    items: list[Any] = []
    position = _skip_whitespace(text, start)
    while text[position] != "]":
        item, position = _parse_value(text, position)
        items.append(item)
        if len(items) == batch_size:
            yield items
            items = []
        position = _find_next_item(text, position, "]")
    if items:
        yield items
    return position + 1


def _skip_whitespace(text: str, position: int) -> int:
    if text[position : position + 1] not in _WHITESPACE_CHARACTERS:  # usually there is nothing to skip
        return position
    match = _WHITESPACE.match(text, position)
    return match.end() if match else position


def _skip_delimiter(text: str, position: int, delimiter: str) -> int:
    """Return the position after a delimiter and whitespace.

    Raises JsonStreamError if the delimiter is missing.
    """
    if text[position] != delimiter:
        raise JsonStreamError(f"expected {delimiter!r} at position {position}, got {text[position]!r}")
    return _skip_whitespace(text, position + 1)


def _find_next_item(text: str, position: int, closing: str) -> int:
    """Return the position of the next item, or of the closing bracket if there is no further item."""
    position = _skip_whitespace(text, position)
    if text[position] == closing:
        return position
    position = _skip_delimiter(text, position, ",")
    if text[position] == closing:
        raise JsonStreamError(f"expected an item at position {position}, got {closing!r}")
    return position
