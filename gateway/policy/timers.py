"""The timers that the policy sets, and the tokens that identify them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class TimerKind(Enum):
    """The work that is due when a timer fires; each value is the prefix of encoded tokens of its kind."""

    REQUEST = "r"
    """A request must be checked: its counter call or attempt may be overdue, or its deadline near."""
    USAGE_REPORT = "c"
    """A customer's usage must be reported to the counter."""
    WATCH_ENDPOINTS = "follow"
    """The watch of the endpoint list must be opened again after a failure."""
    REBUILD_SUBSET = "order"
    """The next step of rebuilding the subset from a long endpoint list is due."""


class TimerToken(NamedTuple):
    """Identifies a timer by its kind, and by a request id or customer key for kinds that have one."""

    kind: TimerKind
    key: str = ""

    def encode(self) -> str:
        """Return the token as text, for hosts that keep timers outside this process."""
        return self.kind.value + self.key

    @classmethod
    def decode(cls, text: str) -> TimerToken:
        """Return the token that `encode` encoded as `text`; raise ValueError for any other text."""
        for kind in (TimerKind.WATCH_ENDPOINTS, TimerKind.REBUILD_SUBSET):
            if text == kind.value:
                return cls(kind)
        return cls(TimerKind(text[:1]), text[1:])
