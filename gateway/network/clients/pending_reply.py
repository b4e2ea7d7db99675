"""The reply to one command of a client, from the arrival of the command until the reply is sent."""

from __future__ import annotations

from typing import Protocol

from .request_parser import ClientRequest


class ReplyConnection(Protocol):
    """The connection that sends the replies of one client."""

    def hold_reply(self, pending_reply: PendingReply, reply: bytes) -> bytes:
        """Return the reply to send; an error reply if `reply` has to wait and there is no memory for it."""

    def process_input(self) -> None:
        """Send the replies that are complete, and process the next commands."""

    def detect_disconnect(self) -> None:
        """Read all input that has arrived, and close the connection if the client has disconnected."""


class PendingReply:
    """The reply to one command, which keeps its place among the replies of its connection."""

    __slots__ = ("command_bytes", "connection", "is_completed", "open_request_id", "reply", "waiting_bytes")

    def __init__(self, connection: ReplyConnection, command_bytes: int = 0) -> None:
        self.connection = connection
        self.command_bytes = command_bytes
        self.reply: bytes | None = None
        self.open_request_id: str | None = None
        """Id of the request that waits for this reply; None for other commands and after completion."""
        self.waiting_bytes = 0
        """This reply's part of `ClientMemory.waiting_reply_bytes`."""
        self.is_completed = False

    @classmethod
    def completed(cls, connection: ReplyConnection, reply: bytes) -> PendingReply:
        """Create a reply that is already complete; the connection is not called to send it."""
        pending_reply = cls(connection)
        pending_reply.is_completed = True
        pending_reply.reply = reply
        return pending_reply

    def set_open_request(self, request_id: str) -> None:
        """Mark this as the reply to a request that is about to be passed to the handler."""
        self.open_request_id = request_id

    def count_waiting_bytes(self, count: int) -> None:
        """Record that this reply waits for earlier ones, and is counted as `count` bytes meanwhile."""
        self.waiting_bytes = count

    def complete(self, reply: bytes) -> None:
        """Set the encoded reply, unless it has been set before or the client has disconnected."""
        if self.is_completed:
            return
        self.is_completed = True
        self.reply = self.connection.hold_reply(self, reply)
        self.open_request_id = None
        self.connection.process_input()

    def abandon(self) -> str | None:
        """Ignore any later reply, as the client has disconnected.

        Returns:
            Id of the request that waits for this reply, or None; the caller must notify the handler of it.
        """
        self.is_completed = True
        return self.open_request_id

    def detect_disconnect(self) -> None:
        """Close the connection if the client has disconnected; see `ReplyConnection.detect_disconnect`."""
        self.connection.detect_disconnect()


class RequestHandler(Protocol):
    """Handles the requests of all clients."""

    def on_request(self, request: ClientRequest, pending_reply: PendingReply, /) -> None:
        """Handle a valid request, and complete its reply now or later."""

    def on_client_disconnected(self, request_id: str, /) -> None:
        """Cancel a request whose client has disconnected and can receive no reply."""
