"""One call to discovery, and how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any

from gateway.network.address import Address


class CallOutcome(Enum):
    """How a call to discovery ended; the value is its wording in the log."""

    CLOSED = "closed by peer"
    SUPERSEDED = "superseded by another call"
    OVERLOADED = "rejected as overloaded"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CallResult:
    """The end of a call to discovery, and the error that caused it, if any."""

    outcome: CallOutcome
    error: str = ""

    @classmethod
    def from_error(cls, outcome: CallOutcome, error: Exception) -> CallResult:
        """Return the end of a call that `error` ended."""
        return cls(outcome, f"{type(error).__name__}: {error}")

    def __str__(self) -> str:
        """Word the end for the log."""
        return f"{self.outcome.value} ({self.error})" if self.error else self.outcome.value


@dataclass(eq=False, slots=True)
class WatchCall:
    """One call to discovery, from its connect to its end.

    Attributes:
        address: where discovery is called.
        version: the changes after it are requested; None requests a snapshot, which ends the call.
        opened_at: time of the connect, on the event loop's clock, in seconds.
        is_answered: whether the response has begun, with a status that promises a list.
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
        """Run the call as a task; `on_done` is called with its end, or once it is cancelled."""
        self._task = asyncio.get_running_loop().create_task(coroutine)
        self._task.add_done_callback(partial(on_done, self))

    def mark_answered(self) -> None:
        """Note that the response has begun."""
        self.is_answered = True

    def cancel(self) -> None:
        """Close the connection; a cancelled call is not logged."""
        if self._task is not None:
            self._task.cancel()
