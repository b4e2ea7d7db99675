"""Load shedding, without the network and the simulator."""

from __future__ import annotations

import pytest

from gateway.policy.actions import Reject, StartAttempt
from gateway.policy.events import (
    Outcome,
)
from gateway.policy.settings import Plan
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    only_attempt_in,
    rejections_in,
    serve_steadily,
)
from tests.support.policy_settings import BASIC


def test_overload_is_shed_early_and_the_lower_priority_first() -> None:
    """Danger: told by latency, overload is seen a whole queue too late, and so is its end."""
    w = PolicyHarness.without_quotas()
    serve_steadily(w)
    out: list[StartAttempt] = []
    while len(out) < 500 and (s := attempts_in(w.request("view"))):
        out += s
    assert len(out) < 100
    assert attempts_in(w.request("order")), "the dearer class still goes through"
    while attempts_in(w.request("order")):
        pass
    for send in out:
        w.end_attempt(send)
    w.pass_time(100)
    assert attempts_in(w.request("view")), "rejections_in end as soon as the load has gone"


def test_a_gateway_without_responses_admits_requests() -> None:
    """Danger: in a large fleet the floor fell under one request: no request, no answer, for ever."""
    w = PolicyHarness.without_quotas(gateway_count=1000)
    assert len(attempts_in(w.request()) + attempts_in(w.request())) == 2


def test_a_gateway_with_few_requests_sheds_by_recent_latency() -> None:
    """Danger: three requests out at each of hundreds of gateways fill the servers for longer than the aim."""
    w = PolicyHarness.without_quotas(gateway_count=300)
    for lag in (100, 1500, 100):
        sent = 0
        for i in range(90):
            for send in attempts_in(w.request()):
                sent += i >= 30
                w.pass_time(lag)
                w.end_attempt(send, attempt_number=w.last_attempt_number(send.request_id))
            w.pass_time(400)
        assert sent < 36 if lag == 1500 else sent > 54


@pytest.mark.parametrize(("most", "wait"), [(500.0, 400.0), (100.0, 100.0), (0.0, 0.0)])
def test_a_request_that_cannot_be_retried_is_rejected_at_once_with_a_retry_after(
    most: float, wait: float
) -> None:
    w = PolicyHarness.without_quotas(max_retry_after_ms=most)
    send, attempt = only_attempt_in(w.request()), 0
    while batch := attempts_in(ended := w.end_attempt(send, Outcome.CONNECT_ERROR, attempt_number=attempt)):
        send, attempt = batch[0], attempt + 1
    assert rejections_in(ended) == [Reject(send.request_id, wait)]
    assert w.now == 10_000
    spent = PolicyHarness.without_quotas(max_retry_after_ms=most)
    spent.policy.retries.budget = 0.0
    assert rejections_in(spent.end_attempt(only_attempt_in(spent.request()), Outcome.CONNECTION_RESET)) == [
        Reject("r1", wait)
    ]


def test_a_plan_counts_by_its_settings_not_its_name() -> None:
    renamed = Plan("zzz", BASIC.rate, BASIC.burst)
    a = PolicyHarness(plans=(BASIC,))
    b = PolicyHarness(plans=(renamed,))
    for _ in range(30):
        assert a.request(plan="basic") == b.request(plan="zzz")
        a.pass_time(100)
        b.pass_time(100)
