"""The wire format of the counter service: one line for each call, one line for each response.

A call is `tally NAME AMOUNT TTL_MS`, a response `ok TOTAL`, `busy` or `error`. The words of the protocol are
named in this module only.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from gateway.policy.events import Outcome

INCREMENT_COMMAND = b"tally"
"""Adds an amount to the total of a name and returns the total; an amount of 0 reads it."""

SUCCESS_STATUS = b"ok"
"""The amount was added; the total follows."""

OVERLOADED_STATUS = b"busy"
"""The counter sheds load; nothing was added."""

ERROR_STATUS = b"error"
"""The counter could not carry out the call; nothing was added."""

REJECTION_STATUSES = (OVERLOADED_STATUS, ERROR_STATUS)
"""Responses of calls that added nothing."""

INCREMENT_FORMAT = INCREMENT_COMMAND + b" %b %.6f %d\r\n"
"""Call with name, amount in units and time to live in milliseconds."""

MIN_TTL_MS = 1
"""Shortest time to live, in milliseconds, that the counter accepts."""

SUCCESS_RESPONSE = re.compile(SUCCESS_STATUS + rb" (-?\d{1,18}(?:\.\d{0,18})?(?:[eE][+-]?\d\d?)?)")
"""Response with a total, which `float` alone would read too freely: it takes nan, inf and 1_0 as numbers."""


class CounterResult(NamedTuple):
    """How a call ended, and the total that the counter returned if it succeeded."""

    outcome: Outcome
    total: float = 0.0


def encode_increment(name: bytes, amount: float, ttl_ms: float) -> bytes:
    """Return the call that adds `amount` to a name; the counter deletes a name after `ttl_ms`."""
    return INCREMENT_FORMAT % (name, amount, max(MIN_TTL_MS, int(ttl_ms)))


def parse_response(line: bytes) -> CounterResult | None:
    """Return the result in a response, given without its line feed; None if it is malformed."""
    line = line.removesuffix(b"\r")
    if line in REJECTION_STATUSES:
        return CounterResult(Outcome.QUEUE_FULL)
    if match := SUCCESS_RESPONSE.fullmatch(line):
        return CounterResult(Outcome.OK, float(match[1]))
    return None
