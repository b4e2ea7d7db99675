"""The replies that a client's connection still owes, as those see them who complete them."""

from __future__ import annotations

from typing import Protocol

from .request_parser import ClientRequest


class ReplyConnection(Protocol):
    """The connection that sends the replies of one client."""

    def process_input(self) -> None:
        """Send the replies that are complete, and go on with the next commands."""

    def detect_disconnect(self) -> None:
        """Read all that has come, and close if the client has disconnected."""


class PendingReply:
    """The place of one command's reply among the replies of its connection."""

    __slots__ = ("command_bytes", "connection", "is_completed", "open_request_id", "reply")

    def __init__(self, connection: ReplyConnection, command_bytes: int = 0) -> None:
        self.connection = connection
        self.command_bytes = command_bytes
        self.reply: bytes | None = None
        self.open_request_id: str | None = None  # of a request that has no reply yet
        self.is_completed = False

    def complete(self, reply: bytes) -> None:
        """Give the encoded reply; only the first one counts, and none once the client has disconnected."""
        if self.is_completed:
            return
        self.is_completed = True
        self.reply = reply
        self.open_request_id = None
        self.connection.process_input()

    def detect_disconnect(self) -> None:
        """See `ReplyConnection.detect_disconnect`."""
        self.connection.detect_disconnect()


class RequestHandler(Protocol):
    """Takes the requests of all clients."""

    def on_request(self, request: ClientRequest, pending_reply: PendingReply, /) -> None:
        """Take a valid request, and complete its reply now or later."""

    def on_client_disconnected(self, request_id: str, /) -> None:
        """Nobody waits for the reply of this request any more."""
