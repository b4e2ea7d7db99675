"""The wire format of the counter service: one line for each call, one line for each response."""

from __future__ import annotations

import re
from typing import NamedTuple

from gateway.policy.events import Outcome

TOTAL_RESPONSE = re.compile(rb"ok (-?\d{1,18}(?:\.\d{0,18})?(?:[eE][+-]?\d\d?)?)")
"""`float` alone accepts more than numbers: nan, inf, 1_0."""

REJECTED_RESPONSES = (b"busy", b"error")


class CounterResult(NamedTuple):
    """How a call ended, and the total that the counter gave if it succeeded."""

    outcome: Outcome
    total: float = 0.0


def encode_increment(name: bytes, amount: float, expires_in_ms: float) -> bytes:
    """Return the line that adds `amount` to a name; the counter forgets a name after `expires_in_ms`."""
    return b"tally %b %b %d\r\n" % (name, b"%.6f" % amount, max(1, int(expires_in_ms)))


def parse_response(line: bytes) -> CounterResult | None:
    """Return what a response line, without its line feed, says; None if it is malformed."""
    line = line.removesuffix(b"\r")
    if line in REJECTED_RESPONSES:
        return CounterResult(Outcome.QUEUE_FULL)
    if match := TOTAL_RESPONSE.fullmatch(line):
        return CounterResult(Outcome.OK, float(match[1]))
    return None
