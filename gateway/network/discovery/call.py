"""A call to discovery and its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any

from gateway.network.address import Address


class CallOutcome(Enum):
    """How a call to discovery ended; the value is the text in the log."""

    CLOSED = "closed by peer"
    SUPERSEDED = "superseded by another call"
    OVERLOADED = "rejected as overloaded"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome of a call to discovery, and the text of the error that ended it, if any."""

    outcome: CallOutcome
    error: str = ""

    @classmethod
    def from_error(cls, outcome: CallOutcome, error: Exception) -> CallResult:
        """Return the result of a call that was ended by `error`."""
        return cls(outcome, f"{type(error).__name__}: {error}")

    def __str__(self) -> str:
        """Return the text for the log."""
        return f"{self.outcome.value} ({self.error})" if self.error else self.outcome.value


@dataclass(eq=False, slots=True)
class WatchCall:
    """A call to discovery, from the connection attempt to its end.

    Attributes:
        address: the address of discovery.
        version: changes after this version are requested; None requests a snapshot, which ends the call.
        opened_at: time of the connection attempt, in seconds on the event loop's clock.
        is_answered: whether a response with a success status has begun.
    """

    address: Address
    version: int | None
    opened_at: float
    is_answered: bool = False
    _task: asyncio.Task[CallResult] | None = field(default=None, init=False)

    def start(
        self,
        coroutine: Coroutine[Any, Any, CallResult],
        on_done: Callable[[WatchCall, asyncio.Task[CallResult]], None],
    ) -> None:
        """Run the call as a task; `on_done` is called once the task has ended or was cancelled."""
        self._task = asyncio.get_running_loop().create_task(coroutine)
        self._task.add_done_callback(partial(on_done, self))

    def mark_answered(self) -> None:
        """Record that a response with a success status has begun."""
        self.is_answered = True

    def cancel(self) -> None:
        """Cancel the task, which closes the connection; a cancelled call is not logged."""
        if self._task is not None:
            self._task.cancel()
