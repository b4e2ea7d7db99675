"""Clients that keep their connections and send one request at a time on each."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from .record import Record
from .services import LOCAL
from .wire import encode_command, parse_reply


@dataclass
class Answer:
    """The answer to a request as its client sees it."""

    id: str
    sent_at: float
    answered_at: float
    kind: bytes
    """First byte of the answer; empty if the connection ended without one, `?` if none came in time."""
    text: bytes


class Client:
    """A client program: sends each request on a connection that is free, or on a new one."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.answers: list[Answer] = []
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, request_id: str, command: bytes, wait_s: float) -> Answer:
        """Send a request and return its answer, for which the client waits `wait_s` at most."""
        sent_at = self.record.now()
        kind, text = b"", b""
        with contextlib.suppress(OSError):
            kind, text = await self._exchange(command, wait_s)
        answer = Answer(request_id, sent_at, self.record.now(), kind, text)
        self.answers.append(answer)
        shown = (kind + text).decode(errors="replace") or "no answer"
        self.record.add(f"answer {request_id}: {shown!r} after {answer.answered_at - sent_at:.3f} s")
        return answer

    async def _exchange(self, command: bytes, wait_s: float) -> tuple[bytes, bytes]:
        if self._free:
            reader, writer = self._free.pop()
        else:
            reader, writer = await asyncio.open_connection(LOCAL, self.port)
        writer.write(command)
        data = b""
        try:
            async with asyncio.timeout(wait_s):
                while (parsed := parse_reply(data)) is None:
                    received = await reader.read(65536)
                    if not received:
                        writer.close()
                        return b"", b""
                    data += received
        except TimeoutError:
            writer.close()
            return b"?", b""
        kind, text, _ = parsed
        self._free.append((reader, writer))
        return kind, text

    def close(self) -> None:
        """Close the connections that are free."""
        for _, writer in self._free:
            writer.close()


def request(request_id: str, request_class: str, *, customer: int, deadline_ms: int, **others: str) -> bytes:
    """Return a request command; `others` are further attributes, or replace the usual ones."""
    attributes = {
        "c": request_class,
        "t": "partner",
        "d": str(deadline_ms),
        "units": "1",
        "spread": "1",
        "first": "0",
    } | others
    name = b"API.READ" if request_class == "timetable-read" else b"API.WRITE"
    joined = ",".join(f"{key}={value}" for key, value in attributes.items())
    return encode_command(name, b"%016x" % customer, request_id.encode(), joined.encode())
