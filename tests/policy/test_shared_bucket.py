"""Tests of the token bucket that all gateways share as one total on the counter."""

from __future__ import annotations

import pytest

from gateway.policy.shared_bucket import PERIOD_MS, TOTAL_RETENTION_MS, SharedTokenBucket

RATE = 2.0
BURST = 8.0
ACCRUED_PER_PERIOD = RATE * PERIOD_MS / 1000


@pytest.fixture
def bucket() -> SharedTokenBucket:
    return SharedTokenBucket.for_customer("customer", RATE, BURST)


def test_a_period_is_numbered_from_its_start(bucket: SharedTokenBucket) -> None:
    start = 7 * PERIOD_MS - bucket.offset_ms

    assert bucket.period(start) == 7
    assert bucket.period(start - 1) == 6


def test_a_total_gives_the_level_of_the_bucket(bucket: SharedTokenBucket) -> None:
    start = 7 * PERIOD_MS - bucket.offset_ms

    assert bucket.level(start, 7, 0.0) == BURST
    assert bucket.level(start + 1000, 7, 9.0) == pytest.approx(1.0)


@pytest.mark.parametrize(("missing_units", "refill_time_ms"), [(0.5, 250.0), (-1.0, 0.0)])
def test_the_refill_time_of_missing_units_follows_from_the_rate(
    bucket: SharedTokenBucket, missing_units: float, refill_time_ms: float
) -> None:
    assert bucket.refill_time_ms(missing_units) == refill_time_ms


@pytest.mark.parametrize(
    ("spent", "debt"),
    [
        (0.0, 0.0),
        (ACCRUED_PER_PERIOD, 0.0),
        (ACCRUED_PER_PERIOD + 3, 3.0),
        pytest.param(ACCRUED_PER_PERIOD + 50, BURST, id="never more than the burst"),
    ],
)
def test_a_period_carries_over_what_was_spent_beyond_the_units_earned(
    bucket: SharedTokenBucket, spent: float, debt: float
) -> None:
    assert bucket.debt(spent) == debt


def test_the_counter_still_holds_a_total_in_the_period_after_it() -> None:
    longest_expiry_of_the_counter_ms = 60_000.0

    assert 2 * PERIOD_MS < TOTAL_RETENTION_MS <= longest_expiry_of_the_counter_ms


def test_the_periods_of_many_customers_do_not_end_together() -> None:
    offsets = [SharedTokenBucket.for_customer(f"c{number}", 1.0, 1.0).offset_ms for number in range(300)]

    end_seconds = [int(offset // 1000) for offset in offsets]
    assert max(end_seconds.count(second) for second in end_seconds) < 45, "20 on average"
