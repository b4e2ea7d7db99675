"""Replies to commands that are not requests: client libraries send these to set up a connection."""

from __future__ import annotations

from gateway.network.codecs.resp import encode_bulk_string

PING_COMMAND = b"PING"

QUIT_COMMAND = b"QUIT"
"""Closes the connection once its replies are sent."""

OK_COMMANDS = {b"CLIENT", b"SELECT", QUIT_COMMAND}
"""Commands that are acknowledged; a client name or a database has no meaning here."""

OK_REPLY = b"+OK\r\n"
PONG_REPLY = b"+PONG\r\n"
UNKNOWN_COMMAND_REPLY = b"-ERR unknown command\r\n"


def reply_to_setup_command(command: bytes, arguments: list[bytes]) -> bytes:
    """Return the encoded reply to `command`, which is in upper case; `arguments` begin with its name."""
    if command in OK_COMMANDS:
        return OK_REPLY
    if command != PING_COMMAND:
        return UNKNOWN_COMMAND_REPLY
    return encode_bulk_string(arguments[1]) if len(arguments) > 1 else PONG_REPLY
