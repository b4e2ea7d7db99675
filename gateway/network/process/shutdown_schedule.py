"""When the steps of a graceful shutdown happen."""

from __future__ import annotations

from dataclasses import dataclass

from gateway.policy.settings import Settings

CLIENT_REDIRECT_DELAY_S = 0.45
"""Time after SIGTERM in which new connections still arrive, in seconds."""

MAX_AWAITED_DEADLINE_S = 3.0
"""Longest request deadline that the platform waits for before SIGKILL, in seconds."""

FAIL_AFTER_DEADLINE_S = 0.4
"""Time after the longest deadline at which open requests fail, in seconds; SIGKILL comes 0.7 s after it."""

DEFAULT_REQUEST_TIME_S = 3.0
"""Deadline and latency objective in seconds, where the settings have no request class."""

CLOSE_TIMEOUT_S = 0.1
"""Time for clients' connections to close once their requests have failed, in seconds."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of a graceful shutdown, in seconds.

    Attributes:
        keep_serving_s: after SIGTERM, until clients' connections are closed.
        fail_requests_s: after SIGTERM, until the requests that are still open are failed.
        close_timeout_s: after that, until connections that have not closed are cut off.
    """

    keep_serving_s: float
    fail_requests_s: float
    close_timeout_s: float = CLOSE_TIMEOUT_S

    @classmethod
    def for_settings(cls, settings: Settings) -> ShutdownSchedule:
        """The schedule for the deadlines and latency objectives of the request classes.

        Capacity is missing from the fleet until this gateway has restarted, so it keeps serving as long as a
        reply can still meet its latency objective before SIGKILL.
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
