"""Parser of the endpoint list."""

from __future__ import annotations

from typing import Any

import pytest

from gateway.network.address import Address
from gateway.network.discovery.endpoint_list import (
    EndpointListError,
    EndpointListMessage,
    backend_id_of,
    parse_endpoint_list,
)
from gateway.policy.events import EndpointState


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "hosts": 3},
        {"seq": 1, "hosts": [{"host": "h", "dial": "nowhere", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]},
        {"seq": 1, "hosts": [3]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "a:1", "health": "up", "block": 2**63}]},
    ],
)
def test_malformed_list_raises_endpoint_list_error(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        parse_endpoint_list(raw)


def test_error_names_what_was_expected_and_found() -> None:
    raw = {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]}

    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_list(raw)

    assert str(raised.value) == (
        "expected an endpoint entry, "
        "got {'dial': '127.0.0.1:1', 'health': 'odd', 'host': 'h'} (KeyError: 'odd')"
    )
    assert isinstance(raised.value.__cause__, KeyError)


@pytest.mark.parametrize("text", [b"\xff", b"[]", b'{"seq":1', b'{"hosts":[{}]}', b'{"a":' + b"[" * 100_000])
def test_malformed_message_raises_endpoint_list_error(text: bytes) -> None:
    with pytest.raises(EndpointListError):
        list(EndpointListMessage(text).batches(1))


def test_entry_is_read_with_all_its_fields() -> None:
    entry = {
        "host": "h",
        "dial": "10.0.0.1:90",
        "site": "b",
        "block": 7,
        "born_ms": 1.5,
        "health": "draining",
    }

    (listed,) = parse_endpoint_list({"seq": 1, "hosts": [entry]}).endpoints

    assert listed.address == Address("10.0.0.1", 90)
    assert listed.endpoint.backend_id == backend_id_of("h")
    assert listed.endpoint.zone == "b"
    assert listed.endpoint.cell == 7
    assert listed.endpoint.started_at == 1.5
    assert listed.endpoint.state is EndpointState.DRAINING


def test_host_name_has_one_backend_id() -> None:
    assert backend_id_of("s-5be2a07c") == backend_id_of("s-5be2a07c")
    assert backend_id_of("s-5be2a07c") != backend_id_of("s-5be2a07d")
