"""The messages between the leading process and its workers: JSON, one message a line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

MAX_LINE_BYTES = 256 * 1024 * 1024
"""Longest message, in bytes: the propagation delays of a thousand changes are one message."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerCall:
    """Calls a method of the worker's role. Arguments that are dataclasses arrive as objects of JSON."""

    call_id: int
    method: str
    arguments: dict[str, Any]

    def encode(self) -> bytes:
        """Return the line of the call."""
        message = {"id": self.call_id, "method": self.method, "arguments": self.arguments}
        return json.dumps(message, default=asdict).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> WorkerCall:
        """Return the call in a line."""
        message = json.loads(line)
        return cls(call_id=message["id"], method=message["method"], arguments=message["arguments"])


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerResponse:
    """What became of a call: its result, or why it failed."""

    call_id: int
    result: Any = None
    error: str | None = None

    def encode(self) -> bytes:
        """Return the line of the response.

        Raises:
            TypeError: the result has no form in JSON.
        """
        message = {"id": self.call_id, "result": self.result, "error": self.error}
        return json.dumps(message).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> WorkerResponse:
        """Return the response in a line."""
        message = json.loads(line)
        return cls(call_id=message["id"], result=message["result"], error=message["error"])
