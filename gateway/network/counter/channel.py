"""A channel to the counter service, which carries the calls for some of the names over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from gateway.network.address import Address
from gateway.policy.events import Outcome

from .call import CounterCall
from .connection import CloseReason, CounterConnection
from .protocol import CounterResult

MS_PER_S = 1000.0


class CounterChannel:
    """Writes calls to one connection, so that the responses for a name arrive in the order of its calls.

    The connection is opened when a call needs it. Calls from one iteration of the event loop are
    written together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        connect_timeout_ms: float,
        on_connection_failed: Callable[[CloseReason], None],
    ) -> None:
        """Create a channel without a connection.

        `on_connection_failed` is called with the reason for each connection that is closed after a fault.
        """
        self.address = address
        self.connection: CounterConnection | None = None
        self.draining_connections: set[CounterConnection] = set()
        """Connections to earlier addresses that stay open until their calls have been answered."""
        self.unwritten_calls: list[CounterCall] = []
        """Calls that wait for a connection, or for the next iteration of the event loop."""
        self.connect_task: asyncio.Task[None] | None = None
        self.is_flush_scheduled = False
        self._loop = loop
        self._connect_timeout_ms = connect_timeout_ms
        self._on_connection_failed = on_connection_failed

    def enqueue(self, call: CounterCall) -> None:
        """Queue a call; it is written in the next iteration of the event loop, or once connected."""
        self.unwritten_calls.append(call)
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def time_out(self, call: CounterCall) -> None:
        """Complete a call at its timeout.

        A call that was written is timed out; one that was not has added nothing, and gets a connect error.
        """
        is_written = call not in self.unwritten_calls
        call.complete(CounterResult(Outcome.TIMED_OUT if is_written else Outcome.CONNECT_ERROR))

    def move_to(self, address: Address) -> None:
        """Use another address for unwritten calls; pending responses from the old one are still read."""
        self.address = address
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        self._drain_connection()
        self._flush()

    def close(self) -> None:
        """Close the connection to the current address; the unanswered calls on it time out."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.close()

    def close_draining_connections(self) -> None:
        """Close the connections to earlier addresses; the unanswered calls on them time out."""
        for connection in list(self.draining_connections):
            connection.close()

    def _drain_connection(self) -> None:
        """Stop writing to the connection, and close it unless calls on it are still unanswered."""
        connection = self.connection
        self.connection = None
        if connection is None or connection.is_closed:
            return
        if connection.unanswered_calls:
            self.draining_connections.add(connection)
        else:
            connection.close()

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        self.unwritten_calls = [call for call in self.unwritten_calls if call.result is None]
        if not self.unwritten_calls:
            return
        connection = self.connection
        if connection is not None and not connection.is_closed:
            connection.close_if_unusable()
        if connection is None or connection.is_closed:
            if self.connect_task is None:
                self.connect_task = self._loop.create_task(self._connect())
            return
        calls = self.unwritten_calls
        self.unwritten_calls = []
        connection.write(calls)

    async def _connect(self) -> None:
        host, port = self.address
        create_protocol = partial(
            CounterConnection, self._on_connection_failed, self.draining_connections.discard
        )
        try:
            async with asyncio.timeout(self._connect_timeout_ms / MS_PER_S):
                _, self.connection = await self._loop.create_connection(create_protocol, host, port)
        except OSError:  # OSError includes TimeoutError
            self._fail_unwritten_calls()
        finally:
            if self.connect_task is asyncio.current_task():  # after a move, another task may be connecting
                self.connect_task = None
        self._flush()

    def _fail_unwritten_calls(self) -> None:
        """Complete the unwritten calls as connect errors: they have added nothing."""
        calls = self.unwritten_calls
        self.unwritten_calls = []
        for call in calls:
            call.complete(CounterResult(Outcome.CONNECT_ERROR))
