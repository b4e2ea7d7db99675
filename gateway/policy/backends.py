"""The backends as this gateway has seen them. Nothing here decides anything."""

from collections import defaultdict
from dataclasses import dataclass, field

from .events import Endpoint


@dataclass(slots=True, eq=False)
class Score:
    """An exponentially fading value; whoever reads it says how fast it fades."""

    level: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True, eq=False)
class BackendScores:
    """What `OutlierDetector` has seen of one process of a backend."""

    excess_latency: Score = field(default_factory=Score)  # milliseconds above the typical latency
    failures: Score = field(default_factory=Score)  # part of all requests that fail, from 0 to 1
    by_class: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))
    by_plan: defaultdict[str, Score] = field(default_factory=lambda: defaultdict(Score))


class Backend:
    """One backend as this gateway has seen it; `RetryController` counts its attempts in flight."""

    __slots__ = ("cell", "id", "in_flight", "scores", "started_at", "zone")

    def __init__(self, entry: Endpoint) -> None:
        self.id = entry.backend_id
        self.in_flight = 0
        self.started_at = -1.0  # of its process
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        """Take in a new entry of the endpoint list."""
        if entry.started_at != self.started_at:  # a new process: scores of the old one say nothing of it
            self.scores = BackendScores()
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_at = entry.started_at
