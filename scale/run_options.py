"""Options that the runs of all scenarios have."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RunOptions:
    """Base class of the options of each scenario."""

    programs: tuple[str, ...]
    """Folders of the checkouts to measure."""

    seed: int
    """Seed of the run's random numbers."""

    stall_ms: float = 0.0
    """How long the fake discovery is stalled in each measured phase, in milliseconds."""
