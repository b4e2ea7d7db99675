"""Reads replies of backends, and derives the outcomes of attempts from them."""

from __future__ import annotations

import re

from gateway.errors import GatewayError
from gateway.network.codecs.resp_replies import Reply, parse_reply
from gateway.policy.events import Outcome

from .resources import ReplyMemory

KNOWN_ERROR = re.compile(rb"(BUSY|ERR failed)(?: [!-~]{1,512})?")
"""Error lines that the protocol defines, which leave their connection usable; a load report may follow."""

OVERLOADED_ERROR = b"BUSY"
"""The error of a backend whose queue is full; the request did not run."""


class ReplyMemoryError(GatewayError):
    """The incomplete replies of all connections together exceed their memory limit."""


class ReplyReader:
    """Buffers an incomplete reply, within the memory limit on the incomplete replies of all connections."""

    __slots__ = ("_memory", "received")

    def __init__(self, memory: ReplyMemory) -> None:
        self._memory = memory
        self.received = bytearray()
        """The bytes received of the current reply; only this class changes them."""

    def feed(self, data: memoryview) -> Reply | None:
        """Append received bytes; return the reply if it is complete, otherwise None.

        Raises:
            ProtocolError: the data cannot become a reply.
            ReplyMemoryError: the incomplete replies of all connections exceed their memory limit.
        """
        self.received += data
        if not self._memory.reserve(len(data)):
            raise ReplyMemoryError("the incomplete replies of all connections exceed their memory limit")
        return parse_reply(self.received)

    def discard(self) -> None:
        """Discard the received bytes, and release their memory."""
        self._memory.release(len(self.received))
        self.received = bytearray()


def known_outcome_of(reply: Reply) -> Outcome | None:
    """Return an attempt's outcome, given its reply; None for an error that the protocol does not define."""
    if reply.value is not None:
        return Outcome.OK
    known_error = KNOWN_ERROR.fullmatch(reply.error)
    if known_error is None:
        return None
    return Outcome.QUEUE_FULL if known_error[1] == OVERLOADED_ERROR else Outcome.FAILED
