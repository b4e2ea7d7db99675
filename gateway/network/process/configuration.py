"""The configuration file of a gateway: JSON, at the path in the environment variable LB_CONFIG.

The platform defines the keys of the file. This module maps them to the names that the gateway uses;
`gateway.settings_document` does so for the `settings` object.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gateway.errors import GatewayError
from gateway.network.address import Address, parse_address
from gateway.policy.settings import Settings
from gateway.settings_document import parse_settings

# Top-level keys of the configuration file.
NAME = "name"
LISTEN_ADDRESS = "listen"
DISCOVERY_ADDRESS = "discovery"
COUNTER_ADDRESS = "counter"
SEED = "seed"
LIMITS = "limits"
CACHED_ENDPOINT_LIST = "known"
SETTINGS = "settings"

# Keys of the `limits` object.
MAX_DESCRIPTORS = "sockets"
MEMORY_MB = "memory_mb"

# Objects in the `settings` object, and the keys of each that only the network code needs, not the policy.
CAPABILITIES = "caps"
CONNECT_TIMEOUT_MS = "connectTimeout"
KEEPALIVE_MS = "keepalive"
MAX_OPEN_REQUESTS = "maxOpen"
RULES = "rules"
POLL_INTERVAL_MS = "askEvery"

DEFAULT_MAX_DESCRIPTORS = 1024
"""Default limit of open file descriptors: the usual soft limit of a process."""

DEFAULT_MEMORY_MB = 64
"""Default memory limit, in MB."""

DEFAULT_CONNECT_TIMEOUT_MS = 250
"""Default timeout for opening a connection to a backend, in milliseconds."""

DEFAULT_KEEPALIVE_MS = 15_000
"""Default time that a backend keeps an idle connection open, in milliseconds."""

DEFAULT_POLL_INTERVAL_MS = 10_000
"""Default maximum age of a polled endpoint list, in milliseconds."""

DEFAULT_MAX_OPEN_REQUESTS = 10_000
"""Default limit of requests that are open at the same time."""


class ConfigurationError(GatewayError):
    """Raised if the configuration cannot be read, lacks a required key or has an invalid value."""


@dataclass(frozen=True, kw_only=True)
class GatewayConfig:
    """The configuration of one gateway.

    Attributes:
        name: the gateway's name in log lines.
        listen_address: the address that clients connect to; port 0 means any free port.
        discovery_address: the address of discovery, where the endpoint list is watched or polled.
        counter_address: the address of the counter, or None if the deployment has no counter.
        seed: the seed of all random choices of this gateway.
        max_descriptors: the maximum number of open file descriptors of the process.
        memory_mb: the memory limit of the process, in MB.
        settings: the settings of the policy.
        connect_timeout_ms: the timeout for opening a connection to a backend, in milliseconds.
        keepalive_ms: how long a backend keeps an idle connection open, in milliseconds.
        max_open_requests: the maximum number of requests that are open at the same time.
        poll_interval_ms: the maximum age of a polled endpoint list, in milliseconds.
        cached_endpoints: the last endpoint list that this gateway had, in discovery's format; empty if none.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    counter_address: Address | None
    seed: int
    max_descriptors: int
    memory_mb: int
    settings: Settings
    connect_timeout_ms: float
    keepalive_ms: float
    max_open_requests: int
    poll_interval_ms: float
    cached_endpoints: dict[str, Any]


def parse_config(document: dict[str, Any]) -> GatewayConfig:
    """Parse a decoded configuration file.

    Raises:
        ConfigurationError: a required key is missing, or a value has the wrong type or format.
    """
    try:
        return _build_config(document)
    except KeyError as error:
        raise ConfigurationError(f"key {error} is missing") from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigurationError(f"a value has the wrong type or form: {error}") from error


def _build_config(document: dict[str, Any]) -> GatewayConfig:
    """Map the platform's keys to a `GatewayConfig`, with defaults for keys that are left out."""
    settings = document[SETTINGS]
    capabilities = settings.get(CAPABILITIES) or {}
    rules = settings.get(RULES) or {}
    limits = document.get(LIMITS) or {}
    counter_address = document.get(COUNTER_ADDRESS)
    return GatewayConfig(
        name=str(document.get(NAME) or ""),
        listen_address=parse_address(document[LISTEN_ADDRESS]),
        discovery_address=parse_address(document[DISCOVERY_ADDRESS]),
        counter_address=parse_address(counter_address) if counter_address else None,
        seed=int(str(document.get(SEED) or "0"), 16),
        max_descriptors=int(limits.get(MAX_DESCRIPTORS) or DEFAULT_MAX_DESCRIPTORS),
        memory_mb=int(limits.get(MEMORY_MB) or DEFAULT_MEMORY_MB),
        settings=parse_settings(settings),
        connect_timeout_ms=float(capabilities.get(CONNECT_TIMEOUT_MS) or DEFAULT_CONNECT_TIMEOUT_MS),
        keepalive_ms=float(capabilities.get(KEEPALIVE_MS) or DEFAULT_KEEPALIVE_MS),
        max_open_requests=int(capabilities.get(MAX_OPEN_REQUESTS) or DEFAULT_MAX_OPEN_REQUESTS),
        poll_interval_ms=float(rules.get(POLL_INTERVAL_MS) or DEFAULT_POLL_INTERVAL_MS),
        cached_endpoints=document.get(CACHED_ENDPOINT_LIST) or {},
    )


def load_config(path: str) -> GatewayConfig:
    """Read the configuration file at `path`.

    Raises:
        ConfigurationError: the file cannot be read, is not JSON or is not a valid configuration.
    """
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: cannot be read as JSON: {error}") from error
    try:
        return parse_config(document)
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from error
    except RecursionError as error:
        raise ConfigurationError(f"{path}: nested too deeply") from error
