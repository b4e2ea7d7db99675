"""Parsing of the configuration file and of addresses."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from gateway.network.address import Address, parse_address
from gateway.network.process.configuration import (
    ConfigurationError,
    GatewayConfig,
    load_config,
    parse_config,
)

ADDRESSES = {"listen": "10.0.0.4:6379", "discovery": "10.2.0.1:8500"}


@pytest.fixture
def config() -> GatewayConfig:
    settings = {"selfIndex": 2, "caps": {"maxAttempts": 4, "keepalive": 9000.0}}
    return parse_config({**ADDRESSES, "seed": "ff", "settings": settings})


def test_addresses_and_seed_are_those_of_the_document(config: GatewayConfig) -> None:
    assert config.listen_address == Address("10.0.0.4", 6379)
    assert config.discovery_address == Address("10.2.0.1", 8500)
    assert config.seed == 255


def test_settings_have_the_keys_of_the_simulator_protocol(config: GatewayConfig) -> None:
    assert config.settings.gateway_index == 2
    assert config.settings.max_attempts == 4
    assert config.keepalive_ms == 9000.0


def test_what_the_document_leaves_out_has_a_default(config: GatewayConfig) -> None:
    assert config.counter_address is None
    assert config.max_descriptors == 1024
    assert config.memory_mb == 64
    assert config.connect_timeout_ms == 250.0
    assert config.max_open_requests == 10_000
    assert config.poll_interval_ms == 10_000.0
    assert config.cached_endpoints == {}


@pytest.mark.parametrize(("allowed", "longest_ms"), [(True, 800.0), (False, 0.0)])
def test_retry_after_is_given_only_where_the_settings_allow_it(allowed: bool, longest_ms: float) -> None:
    capabilities = {"retryAfter": allowed, "maxRetryAfter": 800.0}

    config = parse_config({**ADDRESSES, "settings": {"caps": capabilities}})

    assert config.settings.max_retry_after_ms == longest_ms


@pytest.mark.parametrize(
    ("document", "message"),
    [
        ({**ADDRESSES}, "key 'settings' is missing"),
        ({"listen": "10.0.0.4:6379", "settings": {}}, "key 'discovery' is missing"),
        ({**ADDRESSES, "discovery": "x", "settings": {}}, "expected an address .* got 'x'"),
        ({**ADDRESSES, "counter": "10.0.0.4:", "settings": {}}, "expected an address .* got '10.0.0.4:'"),
    ],
)
def test_error_names_what_is_wrong(document: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigurationError, match=message):
        parse_config(document)


def test_error_of_a_file_names_the_file(tmp_path: Path) -> None:
    path = tmp_path / "absent.json"

    with pytest.raises(ConfigurationError, match=str(path)):
        load_config(str(path))


def test_parsed_address_converts_back_to_the_same_text() -> None:
    address = parse_address("10.2.0.1:8500")

    assert address == ("10.2.0.1", 8500)
    assert str(address) == "10.2.0.1:8500"
