"""What the two directions of RESP2 have in common.

`resp_commands` parses what clients send, `resp_replies` what backends answer. Peers are not trusted: only the
protocol's own forms are read, a length out of range is rejected at its header, and what is kept of an
incomplete message is bounded. A general RESP reader accepts far more (maps, sets, nested and endless arrays,
values of gigabytes) and rejects a complete answer for a malformed part of it that is not needed.
"""

from __future__ import annotations

from gateway.errors import GatewayError


class ProtocolError(GatewayError):
    """The input is none of the protocol's forms; nothing after it can be understood either."""


def encode_bulk_string(value: bytes) -> bytes:
    """The value as a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)
