"""Replies that the gateway itself gives to requests, as the protocol words them."""

from __future__ import annotations

import math

FAILED_REPLY = b"-ERR failed\r\n"
"""The request failed; it may have run."""

BUSY_REPLY = b"-BUSY\r\n"
"""The request was rejected; it did not run."""

BUSY_RETRY_AFTER_REPLY = b"-BUSY %d\r\n"
"""The same, with the Retry-After in milliseconds."""

ID_IN_USE_REPLY = b"-ERR id in use\r\n"
"""The request was rejected, as another one with its id is open."""


def encode_rejection(retry_after_ms: float) -> bytes:
    """Return the reply to a request that was rejected; without a Retry-After if that is 0."""
    rounded_up_ms = math.ceil(retry_after_ms)
    return BUSY_RETRY_AFTER_REPLY % rounded_up_ms if rounded_up_ms > 0 else BUSY_REPLY
