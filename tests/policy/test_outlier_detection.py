"""Outlier detection: backends that fail, hang, or fail one class alone."""

from __future__ import annotations

from gateway.policy.events import (
    Outcome,
)
from tests.support.policy_harness import (
    PolicyHarness,
    attempts_in,
    backends_used,
    only_attempt_in,
    serve_steadily,
)


def test_a_failing_backend_is_avoided_and_later_tried_again() -> None:
    w = PolicyHarness.without_quotas()
    serve_steadily(w)
    bad, shares = 1, []
    for _ in range(2):
        hits = 0
        for _ in range(60):
            send = only_attempt_in(w.request())
            while True:
                hits += send.backend_id == bad
                w.pass_time(20)
                outcome = Outcome.FAILED if send.backend_id == bad else Outcome.OK
                again = attempts_in(
                    w.end_attempt(
                        send,
                        outcome,
                        attempt_number=0
                        if send.backend_id == bad
                        else w.last_attempt_number(send.request_id),
                    )
                )
                if not again:
                    break
                send = again[0]
        shares.append(hits)
    assert shares[0] <= 10
    assert shares[1] <= 10
    w.pass_time(20_000)
    assert bad in backends_used(w, 40)


def test_a_hanging_backend_is_avoided_while_its_peers_respond() -> None:
    w = PolicyHarness.without_quotas()
    serve_steadily(w)
    hung = 0
    for _ in range(150):
        send = only_attempt_in(w.request("wipe", remaining_ms=60_000))
        w.pass_time(50)
        if send.backend_id == 1:
            hung += 1
        else:
            w.end_attempt(send)
    assert hung <= 8


def test_a_class_that_fails_at_a_backend_is_told_from_the_others() -> None:
    """Danger: a backend that fails one class alone looks half well, and keeps getting that class."""
    w = PolicyHarness.without_quotas(max_attempts=1)
    hits = {"view": 0, "order": 0}
    for i in range(400):
        name = "order" if i % 2 else "view"
        send = only_attempt_in(w.request(name))
        w.pass_time(20)
        bad = send.backend_id == 1 and name == "order"
        w.end_attempt(send, Outcome.FAILED if bad else Outcome.OK)
        hits[name] += send.backend_id == 1 and i > 100
    assert hits["order"] <= 8
    assert hits["view"] >= 25
