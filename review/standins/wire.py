"""The parts of RESP2 that the stand-ins need: reading commands and replies, writing commands."""

from __future__ import annotations


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


def encode_value(value: bytes) -> bytes:
    """Return a backend's reply: the value, no figures on use and no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def parse_command(data: bytes) -> tuple[list[bytes], int] | None:
    """Return the first command and the offset of its end; None while it is incomplete."""
    end = data.find(b"\r\n")
    if end < 0:
        return None
    count = int(data[1:end])
    position = end + 2
    arguments = []
    for _ in range(count):
        end = data.find(b"\r\n", position)
        if end < 0:
            return None
        size = int(data[position + 1 : end])
        start = end + 2
        if len(data) < start + size + 2:
            return None
        arguments.append(data[start : start + size])
        position = start + size + 2
    return arguments, position


def parse_reply(data: bytes) -> tuple[bytes, bytes, int] | None:
    """Return the kind of the first reply, its text or value, and the offset of its end.

    The kind is the first byte of the reply. The result is None while the reply is incomplete.
    """
    end = data.find(b"\r\n")
    if end < 0:
        return None
    kind = data[:1]
    if kind != b"$":
        return kind, data[1:end], end + 2
    size = int(data[1:end])
    start = end + 2
    if size < 0:
        return kind, b"", start
    if len(data) < start + size + 2:
        return None
    return kind, data[start : start + size], start + size + 2


def attributes_of(command: list[bytes]) -> dict[str, str]:
    """Return the attributes of a request command by name."""
    pairs = (pair.partition("=") for pair in command[3].decode().split(","))
    return {name: value for name, _, value in pairs}
