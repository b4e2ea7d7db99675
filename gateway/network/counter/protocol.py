"""Wire format of the counter service: one line per call and one line per response.

A call is `tally NAME AMOUNT TTL_MS`; a response is `ok TOTAL`, `busy` or `error`. These keywords appear in
this module only.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from gateway.policy.events import Outcome

INCREMENT_COMMAND = b"tally"
"""Command that adds an amount to the total of a name and returns the new total; an amount of 0 reads it."""

SUCCESS_STATUS = b"ok"
"""Status of a call whose amount was added; the total follows."""

OVERLOADED_STATUS = b"busy"
"""Status of a call that was shed because of overload; nothing was added."""

ERROR_STATUS = b"error"
"""Status of a call that the counter could not carry out; nothing was added."""

REJECTION_STATUSES = (OVERLOADED_STATUS, ERROR_STATUS)
"""Statuses of calls that added nothing."""

INCREMENT_FORMAT = INCREMENT_COMMAND + b" %b %.6f %d\r\n"
"""Request line: name, amount in units, time to live (TTL) in milliseconds."""

MIN_TTL_MS = 1
"""Shortest TTL, in milliseconds, that the counter accepts."""

SUCCESS_RESPONSE = re.compile(SUCCESS_STATUS + rb" (-?\d{1,18}(?:\.\d{0,18})?(?:[eE][+-]?\d\d?)?)")
"""Pattern of a response with a total; `float` alone would also accept nan, inf and 1_0."""


class CounterResult(NamedTuple):
    """Outcome of a call, and the total that the counter returned if the call succeeded."""

    outcome: Outcome
    total: float = 0.0


def encode_increment(name: bytes, amount: float, ttl_ms: float) -> bytes:
    """Return the request line that adds `amount` to the total of a name, which expires after `ttl_ms`."""
    return INCREMENT_FORMAT % (name, amount, max(MIN_TTL_MS, int(ttl_ms)))


def parse_response(line: bytes) -> CounterResult | None:
    """Parse a response line without its line feed. Return None if it is malformed."""
    line = line.removesuffix(b"\r")
    if line in REJECTION_STATUSES:
        return CounterResult(Outcome.QUEUE_FULL)
    if match := SUCCESS_RESPONSE.fullmatch(line):
        return CounterResult(Outcome.OK, float(match[1]))
    return None
