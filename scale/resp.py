"""RESP2 as far as the stand-ins and clients speak it. The peers are the program's own: little is checked."""

from __future__ import annotations


def encode(*args: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)


class CommandCutter:
    """Cuts bytes into commands."""

    def __init__(self) -> None:
        self.rest = b""

    def cut(self, data: bytes) -> list[list[bytes]]:
        """The commands that are whole with these bytes."""
        self.rest += data
        commands = []
        while (got := cut_command(self.rest)) is not None:
            command, end = got
            commands.append(command)
            self.rest = self.rest[end:]
        return commands


def cut_command(data: bytes) -> tuple[list[bytes], int] | None:
    """The first command and where it ends; None while it is not whole. ValueError for anything else."""
    head = data.find(b"\r\n")
    if head < 0:
        return None
    if not data.startswith(b"*"):
        raise ValueError("not a command")
    args, at = [], head + 2
    for _ in range(int(data[1:head])):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        at = end + 2 + size + 2
        if len(data) < at:
            return None
        args.append(data[end + 2 : at - 2])
    return args, at


def cut_answer(data: bytes) -> bytes | None:
    """A gateway's answer once it is whole: an error line with its sign, or `$` and the value."""
    end = data.find(b"\r\n")
    if end < 0:
        return None
    if not data.startswith(b"$"):
        return data[:end]
    size = int(data[1:end])
    return b"$" + data[end + 2 : end + 2 + size] if len(data) >= end + 2 + size + 2 else None
