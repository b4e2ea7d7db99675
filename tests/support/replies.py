"""Replies as backends send them and as clients receive them."""

from __future__ import annotations

import hiredis


def served_reply(value: bytes) -> bytes:
    """Return a backend's reply with a value, but without usage figures and a load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def is_error(reply: object) -> bool:
    """Return whether a client's reply is an error other than a rejection for lack of capacity."""
    return isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")
