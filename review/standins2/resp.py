"""RESP2 for the stand-ins: commands that arrive at backends, and replies that arrive at clients."""

from __future__ import annotations

Reply = tuple[str, bytes]
"""The kind of a reply ("value", "error", "status" or "null") and its bytes."""


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    encoded = (b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)
    return b"*%d\r\n" % len(arguments) + b"".join(encoded)


class CommandReader:
    """Splits the bytes that a backend receives into commands."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that `data` completes."""
        self.buffer += data
        commands = []
        while (command := self._next()) is not None:
            commands.append(command)
        return commands

    def _next(self) -> list[bytes] | None:
        header = self._line(0)
        if header is None:
            return None
        count, position = int(header[0][1:]), header[1]
        arguments = []
        for _ in range(count):
            length_line = self._line(position)
            if length_line is None:
                return None
            length, start = int(length_line[0][1:]), length_line[1]
            if len(self.buffer) < start + length + 2:
                return None
            arguments.append(bytes(self.buffer[start : start + length]))
            position = start + length + 2
        del self.buffer[:position]
        return arguments

    def _line(self, position: int) -> tuple[bytes, int] | None:
        end = self.buffer.find(b"\r\n", position)
        return None if end < 0 else (bytes(self.buffer[position:end]), end + 2)


class ReplyReader:
    """Splits the bytes that a client receives into replies."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Reply]:
        """Return the replies that `data` completes."""
        self.buffer += data
        replies = []
        while (reply := self._next()) is not None:
            replies.append(reply)
        return replies

    def _next(self) -> Reply | None:
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return None
        line = bytes(self.buffer[:end])
        if not line.startswith(b"$"):
            del self.buffer[: end + 2]
            return ("error" if line.startswith(b"-") else "status", line)
        length = int(line[1:])
        if length < 0:
            del self.buffer[: end + 2]
            return ("null", b"")
        stop = end + 2 + length
        if len(self.buffer) < stop + 2:
            return None
        value = bytes(self.buffer[end + 2 : stop])
        del self.buffer[: stop + 2]
        return ("value", value)
