"""The schedule of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

from gateway.policy.settings import Settings

CLIENT_REDIRECT_DELAY_S = 0.45
"""Time after SIGTERM during which clients still open new connections, in seconds."""

MAX_AWAITED_DEADLINE_S = 3.0
"""Longest request deadline that the platform waits for before it sends SIGKILL, in seconds."""

FAIL_AFTER_DEADLINE_S = 0.4
"""Time from the longest deadline until open requests are failed, in seconds.

The platform sends SIGKILL 0.7 s after the longest deadline.
"""

DEFAULT_REQUEST_TIME_S = 3.0
"""Deadline and latency objective if the settings define no request class, in seconds."""

CLOSE_TIMEOUT_S = 0.1
"""Time for client connections to close once their requests have been failed, in seconds."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The durations that define a graceful shutdown, in seconds.

    Attributes:
        keep_serving_s: time from SIGTERM until the gateway begins to close client connections.
        fail_requests_s: time from SIGTERM until the requests that are still open are failed.
        close_timeout_s: time from then until client connections that are still open are closed.
    """

    keep_serving_s: float
    fail_requests_s: float
    close_timeout_s: float = CLOSE_TIMEOUT_S

    @classmethod
    def for_settings(cls, settings: Settings) -> ShutdownSchedule:
        """Return the schedule for the deadlines and latency objectives of the request classes.

        The fleet lacks this gateway's capacity until it has restarted. The gateway therefore keeps serving as
        long as a new request can still meet its latency objective before SIGKILL.
        """
        classes = settings.request_classes
        longest_deadline_s = min(
            MAX_AWAITED_DEADLINE_S,
            max((c.deadline_ms / 1000 for c in classes), default=DEFAULT_REQUEST_TIME_S),
        )
        objective_s = max((c.latency_objective_ms / 1000 for c in classes), default=DEFAULT_REQUEST_TIME_S)
        fail_requests_s = longest_deadline_s + FAIL_AFTER_DEADLINE_S
        return cls(
            keep_serving_s=max(CLIENT_REDIRECT_DELAY_S, fail_requests_s - objective_s),
            fail_requests_s=fail_requests_s,
        )
