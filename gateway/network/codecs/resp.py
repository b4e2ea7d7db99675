"""Parts of RESP2 that the parsers of commands and of replies share.

`resp_commands` parses the commands of clients, `resp_replies` the replies of backends. Peers are not trusted:
only the types that the protocol uses are accepted, a length out of range is rejected as soon as its header is
parsed, and the buffered bytes of an incomplete message are bounded. A general RESP parser accepts far more
(maps, sets, nested and unbounded arrays, values of gigabytes) and rejects a complete reply for a malformed
part that is not used.
"""

from __future__ import annotations

from gateway.errors import GatewayError


class ProtocolError(GatewayError):
    """Raised for input that the protocol does not allow; nothing after it can be parsed either."""


def encode_bulk_string(value: bytes) -> bytes:
    """Return a value encoded as a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)
