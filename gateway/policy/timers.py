"""The timers that the policy sets, and the tokens that identify them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class TimerKind(Enum):
    """The work that is due when a timer fires; the values are the encoded form."""

    REQUEST = "r"
    """A request has to be checked: its attempt takes too long, or its deadline is near."""
    USAGE_REPORT = "c"
    """Usage of a customer is to be reported to the counter."""
    WATCH_ENDPOINTS = "follow"
    """The watch of the endpoint list is to be opened again after a failure."""
    REBUILD_SUBSET = "order"
    """The next step of ordering a long endpoint list is due."""


class TimerToken(NamedTuple):
    """Identifies a timer: its kind, and the request id or customer key that it belongs to."""

    kind: TimerKind
    key: str = ""

    def encode(self) -> str:
        """The token as text, for hosts that keep timers outside this process."""
        return self.kind.value + self.key

    @classmethod
    def decode(cls, text: str) -> TimerToken:
        """The token of a text that `encode` gave. Raises ValueError for any other text."""
        for kind in (TimerKind.WATCH_ENDPOINTS, TimerKind.REBUILD_SUBSET):
            if text == kind.value:
                return cls(kind)
        return cls(TimerKind(text[:1]), text[1:])
