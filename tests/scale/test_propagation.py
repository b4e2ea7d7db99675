"""Tests of the sampling and the summary of propagation delays."""

from __future__ import annotations

from scale.propagation import (
    MAX_SAMPLED_CHANGES,
    NOT_APPLIED,
    AnnouncedChange,
    announced_changes,
    sample_changes,
    summarize_propagation,
)


def test_a_change_that_was_not_applied_is_missing_and_counts_with_the_time_out() -> None:
    summary = summarize_propagation([[1.0, NOT_APPLIED], [2.0, 3.0]], changes=2, gateways=2, timeout_s=30.0)

    assert summary["missing"] == 1
    assert summary["max_ms"]["max"] == 30_000.0
    assert summary["max_ms"]["min"] == 3.0


def test_percentiles_are_over_the_gateways_of_each_change() -> None:
    summary = summarize_propagation([[3.0, 1.0, 2.0]], changes=1, gateways=3, timeout_s=30.0)

    assert summary["p50_ms"]["median"] == 2.0
    assert summary["p99_ms"]["median"] == 3.0


def test_each_host_of_an_announcement_is_a_change() -> None:
    changes = announced_changes([{"at": 1.0, "hosts": ["a", "b"]}, {"at": 2.0, "hosts": ["c"]}])

    assert changes == [AnnouncedChange("a", 1.0), AnnouncedChange("b", 1.0), AnnouncedChange("c", 2.0)]


def test_a_sample_of_many_changes_is_bounded_and_evenly_spaced() -> None:
    changes = [AnnouncedChange(str(number), 0.0) for number in range(2 * MAX_SAMPLED_CHANGES + 1)]

    sample = sample_changes(changes)

    assert len(sample) <= MAX_SAMPLED_CHANGES
    assert [change.host for change in sample[:3]] == ["0", "3", "6"]
