"""Shares the work of each iteration of the event loop among the connections that have commands to process.

A client may pipeline thousands of commands. If each connection processed all of its input at once, one
iteration would take as long as all clients wish: neither timers nor the replies of the counter and the
backends would be handled meanwhile, and what the commands leave behind would grow with the input.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

MAX_COMMANDS_PER_ITERATION = 16
"""Maximum number of commands processed between two polls of the event loop, for all connections together."""


class InputConnection(Protocol):
    """A connection that may have commands to process."""

    def process_input(self) -> None:
        """Process commands for as long as `InputScheduler.claim_command` permits."""


class InputScheduler:
    """Lets connections process their commands round-robin, a bounded number in each iteration.

    While no other connection waits, a connection processes its commands at once. Otherwise each one waits for
    its turn, in which it processes one command.
    """

    __slots__ = (
        "_commands_left",
        "_connection_in_turn",
        "_is_run_scheduled",
        "_is_unlimited",
        "_loop",
        "waiting",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._commands_left = MAX_COMMANDS_PER_ITERATION
        self._connection_in_turn: InputConnection | None = None
        self._is_run_scheduled = False
        self._is_unlimited = False
        # The connections are keys of a dictionary, which preserves their order.
        self.waiting: dict[InputConnection, None] = {}
        """Connections that wait for their turn, the next one first."""

    def claim_command(self, connection: InputConnection) -> bool:
        """Return whether `connection` may process one command now; if not, it waits for its turn."""
        if self._is_unlimited:
            return True
        if self._commands_left and (connection is self._connection_in_turn or not self.waiting):
            self._connection_in_turn = None
            self._commands_left -= 1
            return True
        self.waiting[connection] = None
        self._schedule_run()
        return False

    def forget(self, connection: InputConnection) -> None:
        """Remove a connection that is closed."""
        self.waiting.pop(connection, None)

    def lift_limit(self) -> None:
        """Let connections process all their input at once from now on, because the process is ending."""
        self._is_unlimited = True

    def _schedule_run(self) -> None:
        if not self._is_run_scheduled:
            self._is_run_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Give turns to the waiting connections until the commands of this iteration are used up."""
        self._is_run_scheduled = False
        self._commands_left = MAX_COMMANDS_PER_ITERATION
        while self.waiting and self._commands_left:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            self._connection_in_turn = connection
            connection.process_input()
        self._connection_in_turn = None
        if self.waiting:
            self._schedule_run()
