"""Reads the configuration that the platform gives a gateway: the JSON file that LB_CONFIG names.

The keys of the file are the platform's. They are translated to the field's terms here and, for the `settings`
object, in `gateway.settings_document`.
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

# Keys of the file.
NAME = "name"
LISTEN_ADDRESS = "listen"
DISCOVERY_ADDRESS = "discovery"
COUNTER_ADDRESS = "counter"
SEED = "seed"
LIMITS = "limits"
CACHED_ENDPOINT_LIST = "known"
SETTINGS = "settings"

# Keys of its limits.
MAX_DESCRIPTORS = "sockets"
MEMORY_MB = "memory_mb"

# Keys of its settings that the network code needs, and the policy does not.
CAPABILITIES = "caps"
CONNECT_TIMEOUT_MS = "connectTimeout"
KEEPALIVE_MS = "keepalive"
MAX_OPEN_REQUESTS = "maxOpen"
RULES = "rules"
POLL_INTERVAL_MS = "askEvery"

DEFAULT_MAX_DESCRIPTORS = 1024
"""File descriptors, where the configuration gives no limit: the usual soft limit of a process."""

DEFAULT_MEMORY_MB = 64
"""Memory in MB, where the configuration gives no limit."""

DEFAULT_CONNECT_TIMEOUT_MS = 250
"""Milliseconds until a connection to a backend has to be open, where the settings do not say."""

DEFAULT_KEEPALIVE_MS = 15_000
"""Milliseconds that a backend keeps an idle connection open, where the settings do not say."""

DEFAULT_POLL_INTERVAL_MS = 10_000
"""Milliseconds that a polled endpoint list may be old, where the settings do not say."""

DEFAULT_MAX_OPEN_REQUESTS = 10_000
"""Requests that may be open at once, where the settings do not say."""


class ConfigurationError(GatewayError):
    """The configuration cannot be read, lacks a required key or has a value of the wrong type or form."""


@dataclass(frozen=True, kw_only=True)
class GatewayConfig:
    """What one gateway needs to know to start.

    Attributes:
        name: the gateway's name, for its log.
        listen_address: where clients connect; port 0 means any free port.
        discovery_address: where the endpoint list is watched or polled.
        counter_address: the counter service, if there is one.
        seed: of all random choices of this gateway.
        max_descriptors: file descriptors that the process may have open.
        memory_mb: memory that the process may take.
        settings: the settings of the policy.
        connect_timeout_ms: until a connection to a backend has to be open.
        keepalive_ms: how long a backend keeps an idle connection open.
        max_open_requests: how many requests may be open at once.
        poll_interval_ms: how old a polled endpoint list may grow.
        cached_endpoints: the endpoint list as this gateway last had it, in discovery's form; empty if none.
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
    """The typed configuration of a decoded document.

    Raises:
        ConfigurationError: a required key is missing, or a value has the wrong type or form.
    """
    try:
        return _build_config(document)
    except KeyError as error:
        raise ConfigurationError(f"key {error} is missing") from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigurationError(f"a value has the wrong type or form: {error}") from error


def _build_config(document: dict[str, Any]) -> GatewayConfig:
    """The configuration that the platform's document means."""
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
