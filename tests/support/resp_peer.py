"""One end of a RESP connection on loopback sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis

LOCAL = "127.0.0.1"

READ_BYTES = 65536


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as a RESP array of bulk strings."""
    encoded_arguments = (b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)
    return b"*%d\r\n" % len(arguments) + b"".join(encoded_arguments)


class RespPeer:
    """One end of a RESP connection, of a client or of a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._parser = hiredis.Reader(notEnoughData=Ellipsis)

    def send(self, *arguments: bytes) -> None:
        """Send a command."""
        self.writer.write(encode_command(*arguments))

    async def receive(self) -> Any:
        """Return the next command or reply, or None once the connection has ended."""
        while (message := self._parser.gets()) is Ellipsis:
            try:
                data = await self.reader.read(READ_BYTES)
            except ConnectionError:
                return None
            if not data:
                return None
            self._parser.feed(data)
        return message

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
