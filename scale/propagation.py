"""Propagation delays: the time from the announcement of endpoint changes until gateways have applied them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

from .figures import Announcement, RepeatSummary
from .histogram import nearest_rank, summarize

MAX_SAMPLED_CHANGES = 1_000
"""Maximum number of changes looked up at each gateway; a larger number is sampled at even intervals."""

NOT_APPLIED = -1.0
"""Placeholder for the delay, in milliseconds, of a change that was not applied in time."""


class AnnouncedChange(NamedTuple):
    """A change of one backend, and when it was announced, in monotonic seconds."""

    host: str
    announced_at: float


class PropagationSummary(TypedDict):
    """Summary of propagation delays.

    For each change, `p50_ms`, `p99_ms` and `max_ms` are the delays until 50 %, 99 % and all of the gateways
    had applied it; each is summarized over the sampled changes.
    """

    changes: int
    sampled: int
    gateways: int
    missing: int
    """Number of pairs of a sampled change and a gateway that did not apply it in time."""

    p50_ms: RepeatSummary
    p99_ms: RepeatSummary
    max_ms: RepeatSummary


def announced_changes(announcements: Sequence[Announcement]) -> list[AnnouncedChange]:
    """Return one change for each host in the announcements."""
    return [
        AnnouncedChange(host, announcement["at"])
        for announcement in announcements
        for host in announcement["hosts"]
    ]


def sample_changes(changes: Sequence[AnnouncedChange]) -> Sequence[AnnouncedChange]:
    """Return at most `MAX_SAMPLED_CHANGES` of the changes, evenly spaced."""
    step = -(-len(changes) // MAX_SAMPLED_CHANGES) or 1
    return changes[::step]


def summarize_propagation(
    delays_by_change: Sequence[Sequence[float]], *, changes: int, gateways: int, timeout_s: float
) -> PropagationSummary:
    """Summarize the delays of the sampled changes; `changes` is the number of all announced changes.

    For each sampled change there is one delay per gateway, in milliseconds. A change that was not applied
    counts with the timeout, which its delay exceeds.
    """
    missing = sum(delay_ms == NOT_APPLIED for delays in delays_by_change for delay_ms in delays)
    timeout_ms = timeout_s * 1000
    ordered = [
        sorted(timeout_ms if delay_ms == NOT_APPLIED else delay_ms for delay_ms in delays)
        for delays in delays_by_change
        if delays
    ]
    return {
        "changes": changes,
        "sampled": len(delays_by_change),
        "gateways": gateways,
        "missing": missing,
        "p50_ms": summarize([nearest_rank(delays, 50) for delays in ordered]),
        "p99_ms": summarize([nearest_rank(delays, 99) for delays in ordered]),
        "max_ms": summarize([delays[-1] for delays in ordered]),
    }
