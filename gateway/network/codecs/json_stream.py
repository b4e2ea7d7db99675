"""JSON objects out of a byte stream: each ends with its line, and may be indented over several lines.

A list of 39,000 backends is one object of six megabytes. It is put together without another copy for each
piece that arrives, and its array is parsed a few items at a time, so that other tasks run in between.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator, Iterator
from typing import Any

from gateway.errors import GatewayError

MAX_OBJECT_SIZE = 64 * 1024 * 1024
"""Most bytes of one object: ten times those of the longest list that is expected."""

MAX_OBJECT_LINES = 1_000_000
"""Most lines of one indented object: an indented list of 39,000 backends has less than half of them."""

FIRST_KEY = b'{"seq"'
"""How a new object begins on a line of its own, even where the object before it was cut short."""

_BLANKS = frozenset(" \t\r\n")
_BLANK = re.compile(r"[ \t\r\n]*")
_read_value = json.JSONDecoder().raw_decode


class JsonStreamError(GatewayError, ValueError):
    """The data is no complete JSON object, or one beyond the size limits."""


class JsonObjectReader:
    """Cuts a stream into the texts of its objects; blank lines between them are skipped."""

    __slots__ = ("_line_pieces", "_lines", "_open_braces", "_size")

    def __init__(self) -> None:
        self._lines: list[bytes] = []  # of the object that is incomplete
        self._line_pieces: list[bytes] = []  # of the line that is incomplete
        self._open_braces = 0  # of the object
        self._size = 0  # bytes of the object

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
                self._size += len(piece)
                self._open_braces += piece.count(b"{") - piece.count(b"}")
        if self._size > MAX_OBJECT_SIZE or len(self._lines) > MAX_OBJECT_LINES:
            raise JsonStreamError("object too long")
        return complete

    def end(self) -> list[bytes]:
        """Return the text of the object that the end of the stream completes, if any.

        Raises JsonStreamError for an object that is cut short.
        """
        text = self._end_line() if self._line_pieces else b""
        if self._lines:
            raise JsonStreamError("object cut short by the end of the stream")
        return [text] if text else []

    def _end_line(self) -> bytes:
        """Return the text of the object that ends with this line; empty if none does."""
        line = b"".join(self._line_pieces)
        self._line_pieces = []
        is_blank = not line or line.isspace()
        # Danger: an object that was cut short would swallow all those after it.
        if self._lines and (is_blank or line.startswith(FIRST_KEY)):
            raise JsonStreamError("object cut short by the next one")
        if not is_blank:
            self._lines.append(line)
            if self._open_braces > 0:
                return b""
        text = b"\n".join(self._lines)
        self._lines = []
        self._open_braces = 0
        self._size = 0
        return text


def iterate_array(text: str, array_name: str, batch_size: int, fields: dict[str, Any]) -> Iterator[list[Any]]:
    """Yield the items of one array of an object, `batch_size` at a time.

    All other members of the object are put into `fields` as they are reached.

    Raises JsonStreamError where the text is malformed, and RecursionError where it is nested too deeply.
    """
    try:
        position = _skip_sign(text, _skip_blanks(text, 0), "{")
        while text[position] != "}":
            name, position = _read_value(text, position)
            if not isinstance(name, str):
                raise JsonStreamError(f"no name before position {position}")
            position = _skip_sign(text, _skip_blanks(text, position), ":")
            if name == array_name and text[position] == "[":
                position = yield from _iterate_items(text, position + 1, batch_size)
            else:
                fields[name], position = _read_value(text, position)
            position = _next_item(text, position, "}")
    except JsonStreamError:
        raise
    except (ValueError, IndexError, TypeError) as error:
        raise JsonStreamError(f"{type(error).__name__}: {error}") from error
    if _skip_blanks(text, position + 1) < len(text):
        raise JsonStreamError("data after the object")


def _iterate_items(text: str, start: int, batch_size: int) -> Generator[list[Any], None, int]:
    """Yield the items of an array that begin at `start`, and return the position behind the array."""
    items: list[Any] = []
    position = _skip_blanks(text, start)
    while text[position] != "]":
        item, position = _read_value(text, position)
        items.append(item)
        if len(items) == batch_size:
            yield items
            items = []
        position = _next_item(text, position, "]")
    if items:
        yield items
    return position + 1


def _skip_blanks(text: str, position: int) -> int:
    if text[position : position + 1] not in _BLANKS:  # most often there is nothing to skip
        return position
    match = _BLANK.match(text, position)
    return match.end() if match else position


def _skip_sign(text: str, position: int, sign: str) -> int:
    """Return where the text behind a sign begins. Raises JsonStreamError if the sign is not there."""
    if text[position] != sign:
        raise JsonStreamError(f"no {sign!r} at position {position}")
    return _skip_blanks(text, position + 1)


def _next_item(text: str, position: int, closing: str) -> int:
    """Return where the next item begins, or the closing bracket stands if there is none."""
    position = _skip_blanks(text, position)
    if text[position] == closing:
        return position
    position = _skip_sign(text, position, ",")
    if text[position] == closing:
        raise JsonStreamError(f"no item before {closing!r} at position {position}")
    return position
