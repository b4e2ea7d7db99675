"""The backends as one gateway sees them: its attempts in flight there, and their outlier scores."""

from collections import defaultdict
from dataclasses import dataclass, field

from .events import Endpoint


class Score:
    """A level that decays exponentially from its last update; its readers apply the time constant."""

    __slots__ = ("level", "updated_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = 0.0

    def update(self, now: float, level: float) -> None:
        """Set the level, which decays from `now` on."""
        self.level = level
        self.updated_at = now


@dataclass(slots=True, eq=False)
class BackendScores:
    """The scores that `OutlierDetector` keeps of one process of a backend."""

    excess_latency: Score = field(default_factory=Score)
    """Latency above the typical latency, in milliseconds."""
    failures: Score = field(default_factory=Score)
    """Fraction of all requests that fail, from 0 to 1."""
    by_class: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))
    """Fraction of requests that fail, by name of their request class."""
    by_plan: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))
    """Fraction of requests that fail, by name of their customer's plan."""


class Backend:
    """A backend, its scores, and the number of this gateway's attempts in flight there."""

    __slots__ = ("cell", "id", "in_flight", "scores", "started_at", "zone")

    def __init__(self, endpoint: Endpoint) -> None:
        self.id = endpoint.backend_id
        self.in_flight = 0
        self.started_at = -1.0  # no process starts at this time, so `update` creates the scores
        self.update(endpoint)

    def begin_attempt(self) -> None:
        """Increment the number of attempts in flight."""
        self.in_flight += 1

    def end_attempt(self) -> None:
        """Decrement the number of attempts in flight."""
        self.in_flight -= 1

    def update(self, endpoint: Endpoint) -> None:
        """Apply an entry of the endpoint list; a new process of the backend starts without scores."""
        if endpoint.started_at != self.started_at:
            self.scores = BackendScores()
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.started_at = endpoint.started_at
