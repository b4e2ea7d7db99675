"""Replies to requests that the gateway sends itself, encoded as the protocol defines them."""

from __future__ import annotations

import math

FAILED_REPLY = b"-ERR failed\r\n"
"""The request failed; it may have run."""

BUSY_REPLY = b"-BUSY\r\n"
"""The request was rejected; it did not run."""

BUSY_RETRY_AFTER_REPLY = b"-BUSY %d\r\n"
"""The request was rejected and did not run; the number is the Retry-After in milliseconds."""

ID_IN_USE_REPLY = b"-ERR id in use\r\n"
"""The request was rejected, because another request with its id has not ended."""


def encode_rejection(retry_after_ms: float) -> bytes:
    """Return the reply to a rejected request, which contains the Retry-After unless that is 0."""
    rounded_up_ms = math.ceil(retry_after_ms)
    return BUSY_RETRY_AFTER_REPLY % rounded_up_ms if rounded_up_ms > 0 else BUSY_REPLY
