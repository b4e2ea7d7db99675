"""Outcomes and latencies of the clients' requests."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from .figures import LoadSummary
from .histogram import LatencyHistogram

MAX_IN_FLIGHT_REQUESTS = 5_000
"""Maximum number of requests in flight; further requests are not sent, and counted as unsent."""


@dataclass
class LoadResult:
    """Counts and latencies of the requests in one run of the clients."""

    sent: int = 0
    unsent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    in_flight: int = 0
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    added_latency: LatencyHistogram = field(default_factory=LatencyHistogram)

    def begin_request(self) -> bool:
        """Count a request as sent, and return True.

        If too many requests are in flight, count it as unsent instead, and return False.
        """
        if self.in_flight >= MAX_IN_FLIGHT_REQUESTS:
            self.unsent += 1
            return False
        self.sent += 1
        self.in_flight += 1
        return True

    def end_request(self, request: LoadRequest, reply: bytes | None) -> None:
        """Count the outcome of a request and its latency; `reply` is None if there was no reply."""
        self.in_flight -= 1
        if reply is not None and reply.startswith(b"$"):
            latency_ms = (time.monotonic() - request.sent_at) * 1000
            backend_ms = int(reply[1:]) / 1000
            self.served += 1
            self.latency.record(latency_ms)
            self.added_latency.record(max(0.0, latency_ms - backend_ms))
        elif reply is not None and reply.startswith(b"-BUSY"):
            self.rejected += 1
        else:
            self.failed += 1

    def summary(self) -> LoadSummary:
        """Return the request counts and the summaries of the latencies."""
        return {
            "sent": self.sent,
            "unsent": self.unsent,
            "served": self.served,
            "rejected": self.rejected,
            "failed": self.failed,
            "latency": self.latency.summary(),
            "added_latency": self.added_latency.summary(),
        }


class LoadRequest:
    """One request of a client, and the result that its outcome is counted in."""

    __slots__ = ("command", "is_retry", "result", "sent_at")

    def __init__(self, command: bytes, result: LoadResult) -> None:
        self.command = command
        self.result = result
        self.sent_at = time.monotonic()
        self.is_retry = False

    def end(self, reply: bytes | None) -> None:
        """Count the outcome of the request; `reply` is None if there was no reply."""
        self.result.end_request(self, reply)
