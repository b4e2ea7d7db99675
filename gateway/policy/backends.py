"""The backends as this gateway has seen them: their attempts in flight and their outlier scores."""

from collections import defaultdict
from dataclasses import dataclass, field

from .events import Endpoint


class Score:
    """A level that decays exponentially from its last update; who reads it knows the time constant."""

    __slots__ = ("level", "updated_at")

    def __init__(self) -> None:
        self.level = 0.0
        self.updated_at = 0.0

    def update(self, now: float, level: float) -> None:
        """Set the level; it decays from now on."""
        self.level = level
        self.updated_at = now


@dataclass(slots=True, eq=False)
class BackendScores:
    """What `OutlierDetector` has seen of one process of a backend."""

    excess_latency: Score = field(default_factory=Score)
    """Milliseconds above the typical latency."""
    failures: Score = field(default_factory=Score)
    """Fraction of all requests that fail, from 0 to 1."""
    by_class: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))
    """Likewise, of the requests of a class."""
    by_plan: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))
    """Likewise, of the requests of a plan's customers."""


class Backend:
    """One backend as this gateway has seen it."""

    __slots__ = ("cell", "id", "in_flight", "scores", "started_at", "zone")

    def __init__(self, endpoint: Endpoint) -> None:
        self.id = endpoint.backend_id
        self.in_flight = 0
        self.started_at = -1.0  # of its process
        self.update(endpoint)

    def begin_attempt(self) -> None:
        """Count an attempt in flight."""
        self.in_flight += 1

    def end_attempt(self) -> None:
        """Count an attempt that is no longer in flight."""
        self.in_flight -= 1

    def update(self, endpoint: Endpoint) -> None:
        """Take over a new entry of the endpoint list; a new process starts without scores."""
        if endpoint.started_at != self.started_at:
            self.scores = BackendScores()
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.started_at = endpoint.started_at
