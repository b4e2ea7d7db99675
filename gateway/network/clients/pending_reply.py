"""The reply to one command of a client, from the arrival of the command until it is sent."""

from __future__ import annotations

from typing import Protocol

from .request_parser import ClientRequest


class ReplyConnection(Protocol):
    """The connection that sends the replies of one client."""

    def process_input(self) -> None:
        """Send the replies that are complete, and go on with the next commands."""

    def detect_disconnect(self) -> None:
        """Read all input that has come, and close if the client has disconnected."""


class PendingReply:
    """The place of one command's reply among the replies of its connection."""

    __slots__ = ("command_bytes", "connection", "is_completed", "open_request_id", "reply")

    def __init__(self, connection: ReplyConnection, command_bytes: int = 0) -> None:
        self.connection = connection
        self.command_bytes = command_bytes
        self.reply: bytes | None = None
        self.open_request_id: str | None = None
        """The request whose reply this is, until it is complete; None for any other command."""
        self.is_completed = False

    @classmethod
    def completed(cls, connection: ReplyConnection, reply: bytes) -> PendingReply:
        """Create a reply that is complete from the start; the connection is not called to send it."""
        pending_reply = cls(connection)
        pending_reply.is_completed = True
        pending_reply.reply = reply
        return pending_reply

    def set_open_request(self, request_id: str) -> None:
        """Make this the reply of a request that is about to be handed to the handler."""
        self.open_request_id = request_id

    def complete(self, reply: bytes) -> None:
        """Give the encoded reply; only the first one counts, and none once the client has disconnected."""
        if self.is_completed:
            return
        self.is_completed = True
        self.reply = reply
        self.open_request_id = None
        self.connection.process_input()

    def abandon(self) -> str | None:
        """Accept no reply any more, as the client has disconnected.

        Returns:
            The request that is still open, if there is one; its handler has to be notified.
        """
        self.is_completed = True
        return self.open_request_id

    def detect_disconnect(self) -> None:
        """See `ReplyConnection.detect_disconnect`."""
        self.connection.detect_disconnect()


class RequestHandler(Protocol):
    """Takes the requests of all clients."""

    def on_request(self, request: ClientRequest, pending_reply: PendingReply, /) -> None:
        """Take a valid request, and complete its reply now or later."""

    def on_client_disconnected(self, request_id: str, /) -> None:
        """Cancel a request, as its client has disconnected and takes no reply any more."""
