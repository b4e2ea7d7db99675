"""What the two directions of RESP2 have in common.

`resp_commands` parses the commands of clients, `resp_replies` the replies of backends. Peers are not trusted:
only the forms that the protocol uses are accepted, a length out of range is rejected at its header, and what
is buffered of an incomplete message is bounded. A general RESP reader accepts far more (maps, sets, nested
and endless arrays, values of gigabytes) and rejects a complete reply for a malformed part that is not used.
"""

from __future__ import annotations

from gateway.errors import GatewayError


class ProtocolError(GatewayError):
    """The input has none of the protocol's forms; nothing after it can be parsed either."""


def encode_bulk_string(value: bytes) -> bytes:
    """Return a value as a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)
