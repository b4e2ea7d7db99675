"""Replies as the tests' backends give them and as clients see them."""

from __future__ import annotations

import hiredis


def served_reply(value: bytes) -> bytes:
    """What a backend replies that served a request with a value, without usage or load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def is_error(reply: object) -> bool:
    """Whether a client's request failed, which is not a rejection for lack of capacity."""
    return isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")
