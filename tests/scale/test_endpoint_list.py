"""Tests of the fake discovery's synthetic endpoint list."""

from __future__ import annotations

import json

import pytest

from scale.fakes.endpoint_list import SyntheticEndpointList


@pytest.fixture
def endpoints() -> SyntheticEndpointList:
    return SyntheticEndpointList(10, [1], seed=1)


def test_each_backend_changes_once_before_any_changes_again(endpoints: SyntheticEndpointList) -> None:
    change = endpoints.change(100)

    assert len(set(change.hosts)) == len(change.hosts) == 9
    event = json.loads(change.line)
    assert [entry["host"] for entry in event["hosts"]] == change.hosts
    assert {entry["health"] for entry in event["hosts"]} == {"draining"}


def test_a_change_is_a_delta_of_the_next_version(endpoints: SyntheticEndpointList) -> None:
    change = endpoints.change(100)

    event = json.loads(change.line)
    assert event["seq"] == 2
    assert not event["whole"]


def test_only_a_marker_changes_the_marker_s_backend(endpoints: SyntheticEndpointList) -> None:
    first = endpoints.change(100)
    second = endpoints.change(9)

    marker = endpoints.change_marker()

    assert marker.hosts == [endpoints.marker_host]
    assert endpoints.marker_host not in first.hosts
    assert endpoints.marker_host not in second.hosts


def test_a_snapshot_leaves_removed_backends_out(endpoints: SyntheticEndpointList) -> None:
    endpoints.change(9)
    endpoints.change(9)

    (entry,) = json.loads(endpoints.snapshot())["hosts"]
    assert entry["host"] == endpoints.marker_host
