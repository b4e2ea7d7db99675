"""The schedule of a graceful shutdown."""

from __future__ import annotations

import pytest

from gateway.network.process.shutdown_schedule import ShutdownSchedule
from gateway.policy.settings import RequestClass
from tests.support.policy_settings import settings


@pytest.mark.parametrize(
    ("latency_objective_ms", "deadline_ms", "keep_serving_s", "fail_requests_s"),
    [(390.0, 1400.0, 1.41, 1.8), (1500.0, 4000.0, 1.9, 3.4), (3000.0, 3000.0, 0.45, 3.4)],
)
def test_shutdown_serves_on_and_ends_before_sigkill(
    latency_objective_ms: float, deadline_ms: float, keep_serving_s: float, fail_requests_s: float
) -> None:
    """SIGKILL is sent 0.7 s after the longest deadline or later; deadlines above 3 s count as 3 s."""
    request_class = RequestClass("view", latency_objective_ms, deadline_ms)

    schedule = ShutdownSchedule.for_settings(settings(request_classes=(request_class,)))

    assert schedule.keep_serving_s == pytest.approx(keep_serving_s)
    assert schedule.fail_requests_s == pytest.approx(fail_requests_s)
    assert schedule.fail_requests_s + schedule.close_timeout_s <= min(deadline_ms / 1000, 3) + 0.7
