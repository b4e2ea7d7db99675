"""Messages between the main process and its workers: one JSON object per line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

MAX_LINE_BYTES = 256 * 1024 * 1024
"""Maximum size of a message, in bytes; one can hold the propagation delays of a thousand changes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerCall:
    """A call of a method of the worker's role. Arguments that are dataclasses arrive as JSON objects."""

    call_id: int
    method: str
    arguments: dict[str, Any]

    def encode(self) -> bytes:
        """Return the call as a line of JSON."""
        message = {"id": self.call_id, "method": self.method, "arguments": self.arguments}
        return json.dumps(message, default=asdict).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> WorkerCall:
        """Return the call that a line holds."""
        message = json.loads(line)
        return cls(call_id=message["id"], method=message["method"], arguments=message["arguments"])


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerResponse:
    """The response to a call: its result, or the error if it failed."""

    call_id: int
    result: Any = None
    error: str | None = None

    def encode(self) -> bytes:
        """Return the response as a line of JSON.

        Raises:
            TypeError: the result cannot be encoded as JSON.
        """
        message = {"id": self.call_id, "result": self.result, "error": self.error}
        return json.dumps(message).encode() + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> WorkerResponse:
        """Return the response that a line holds."""
        message = json.loads(line)
        return cls(call_id=message["id"], result=message["result"], error=message["error"])
