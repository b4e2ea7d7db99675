"""What the command line chooses for a run, whatever the scenario."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RunOptions:
    """The options that all scenarios share."""

    programs: tuple[str, ...]
    """Checkouts of the program to measure."""

    seed: int
    """Seed of the run's random numbers."""

    stall_ms: float = 0.0
    """How long the fake discovery is stalled in each measured phase."""
