"""Reading of backends' replies: what has arrived of one, and the outcome that it stands for."""

from __future__ import annotations

import re

from gateway.errors import GatewayError
from gateway.network.codecs.resp_replies import Reply, parse_reply
from gateway.policy.events import Outcome

from .resources import ReplyMemory

KNOWN_ERROR = re.compile(rb"(BUSY|ERR failed)(?: [!-~]{1,512})?")
"""Error lines of the protocol, which leave their connection usable; a load report may follow."""

OVERLOADED_ERROR = b"BUSY"
"""The backend's queue is full; the request did not run."""


class ReplyMemoryError(GatewayError):
    """The incomplete replies of all connections exceed the memory for them."""


class ReplyReader:
    """Buffers what has arrived of a reply, within the memory for the replies of all connections."""

    __slots__ = ("_memory", "received")

    def __init__(self, memory: ReplyMemory) -> None:
        self._memory = memory
        self.received = bytearray()
        """The part of a reply that has arrived; only this class changes it."""

    def feed(self, data: memoryview) -> Reply | None:
        """Append what has arrived, and return the reply once it is complete.

        Raises:
            ProtocolError: the data cannot become a reply.
            ReplyMemoryError: the incomplete replies of all connections exceed their memory.
        """
        self.received += data
        if not self._memory.reserve(len(data)):
            raise ReplyMemoryError("expected a complete reply, got too many incomplete ones for their memory")
        return parse_reply(self.received)

    def discard(self) -> None:
        """Drop what has arrived, and release its memory."""
        self._memory.release(len(self.received))
        self.received = bytearray()


def known_outcome_of(reply: Reply) -> Outcome | None:
    """Return the outcome that a reply stands for, None if it is an error that the protocol does not name."""
    if reply.value is not None:
        return Outcome.OK
    known_error = KNOWN_ERROR.fullmatch(reply.error)
    if known_error is None:
        return None
    return Outcome.QUEUE_FULL if known_error[1] == OVERLOADED_ERROR else Outcome.FAILED
