"""JSON objects out of a stream: each ends with its line, and may stand indented over several lines.

A list of 39,000 backends is one object of six megabytes. It is put together without being copied again for
each piece that comes, and its entries are read a few at a time, so that what else waits has its turn between.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

LONGEST = 64 * 1024 * 1024  # bytes of one object
MOST_LINES = 1_000_000  # of an indented one

_BLANKS = frozenset(" \t\r\n")
_BLANK = re.compile(r"[ \t\r\n]*")
_read_value = json.JSONDecoder().raw_decode


class JsonStreamError(ValueError):
    """What came is no whole JSON object."""


class JsonObjectReader:
    """Cuts a stream into the texts of its objects; blank lines between them are passed over."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of an object that is not whole yet
        self.line: list[bytes] = []  # what has come of the next line
        self.depth = self.size = 0  # braces of the object that are open; bytes of it

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are complete now. Raises JsonStreamError for one that is cut short or too long."""
        whole: list[bytes] = []
        for number, piece in enumerate(data.split(b"\n")):
            if number and (text := self._end_line()):
                whole.append(text)
            if piece:
                self.line.append(piece)
                self.size += len(piece)
                self.depth += piece.count(b"{") - piece.count(b"}")
        if self.size > LONGEST or len(self.lines) > MOST_LINES:
            raise JsonStreamError("an endless object")
        return whole

    def end(self) -> list[bytes]:
        """The object that the end of the stream completes, if any. Raises JsonStreamError for half of one."""
        text = self._end_line() if self.line else b""
        if self.lines:
            raise JsonStreamError("an object that was cut short")
        return [text] if text else []

    def _end_line(self) -> bytes:
        """The text of the object that ends here; empty if none does."""
        line, self.line = b"".join(self.line), []
        blank = not line or line.isspace()
        # Danger: an object that was cut short would swallow all that come after it.
        if self.lines and (blank or line.startswith(b'{"seq"')):
            raise JsonStreamError("an object that was cut short")
        if not blank:
            self.lines.append(line)
            if self.depth > 0:
                return b""
        text, self.lines, self.depth, self.size = b"\n".join(self.lines), [], 0, 0
        return text


def iterate_array(text: str, array: str, most: int, fields: dict[str, Any]) -> Iterator[list[Any]]:
    """The items of one array of an object, `most` at a time; all else that has been read is in `fields`.

    Raises JsonStreamError where the text goes wrong, and RecursionError for endless nesting.
    """
    try:
        at = _opened(text, _skip(text, 0), "{")
        while text[at] != "}":
            name, at = _read_value(text, at)
            if not isinstance(name, str):
                raise JsonStreamError(f"no name before {at}")
            at = _opened(text, _skip(text, at), ":")
            if name == array and text[at] == "[":
                items: list[Any] = []
                at = _skip(text, at + 1)
                while text[at] != "]":
                    item, at = _read_value(text, at)
                    items.append(item)
                    if len(items) == most:
                        yield items
                        items = []
                    at = _next(text, at, "]")
                if items:
                    yield items
                at += 1
            else:
                fields[name], at = _read_value(text, at)
            at = _next(text, at, "}")
    except JsonStreamError:
        raise
    except (ValueError, IndexError, TypeError) as error:
        raise JsonStreamError(f"{type(error).__name__}: {error}") from error
    if _skip(text, at + 1) < len(text):
        raise JsonStreamError("more than an object")


def _skip(text: str, at: int) -> int:
    if text[at : at + 1] not in _BLANKS:  # most often there is nothing to pass over
        return at
    found = _BLANK.match(text, at)
    return found.end() if found else at


def _opened(text: str, at: int, sign: str) -> int:
    """Where what follows a sign begins."""
    if text[at] != sign:
        raise JsonStreamError(f"no {sign!r} at {at}")
    return _skip(text, at + 1)


def _next(text: str, at: int, end: str) -> int:
    """Where the next item begins, or the sign that ends them stands."""
    at = _skip(text, at)
    if text[at] == end:
        return at
    at = _opened(text, at, ",")
    if text[at] == end:
        raise JsonStreamError(f"nothing before {end!r} at {at}")
    return at
