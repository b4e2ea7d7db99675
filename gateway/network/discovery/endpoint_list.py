"""The endpoint list as discovery sends it, parsed into endpoints and their addresses.

The field names and the state names of discovery's JSON appear in this module only.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from gateway.errors import GatewayError
from gateway.network.address import Address, parse_address
from gateway.network.codecs.json_stream import JsonStreamError, iterate_array
from gateway.policy.events import Endpoint, EndpointState

BACKEND_ID_BYTES = 8
"""Length of a backend id, in bytes: 64 bits make a collision within one list practically impossible."""

CELL_LIMIT = 2**63
"""Cell numbers lie below this and not below its negative: they fit a signed 64-bit integer."""

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}
"""State of an endpoint, by the name that discovery gives it."""

MALFORMED_DATA_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""What reading a field raises where the data has not the expected shape."""


class EndpointListError(GatewayError):
    """Discovery sent what its protocol does not allow; the previous list stays in force."""


class ListedEndpoint(NamedTuple):
    """An endpoint of the list and the address at which it is reached."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list that was parsed in one piece, and its version."""

    version: int
    endpoints: tuple[ListedEndpoint, ...]


class EndpointListMessage:
    """One message of a watch, parsed a batch of endpoints at a time.

    `version`, `is_snapshot` and `has_kind` hold for what has been parsed so far: discovery may name the
    version and the kind before or after the endpoints.
    """

    __slots__ = ("_fields", "_text")

    def __init__(self, text: bytes) -> None:
        """Raises EndpointListError if the message is not UTF-8."""
        try:
            self._text = text.decode()
        except UnicodeDecodeError as error:
            raise EndpointListError(str(error)) from error
        self._fields: dict[str, Any] = {}

    def batches(self, size: int) -> Iterator[tuple[ListedEndpoint, ...]]:
        """Parse the message and yield its endpoints, `size` at a time.

        Raises EndpointListError where it is malformed; batches before that place have been yielded by then.
        """
        try:
            for hosts in iterate_array(self._text, "hosts", size, self._fields):
                yield parse_endpoints(hosts)
        except (JsonStreamError, RecursionError) as error:
            raise EndpointListError(str(error)) from error

    @property
    def version(self) -> int:
        """Version of the list with this message applied. Raises EndpointListError if there is none."""
        return parse_version(self._fields)

    @property
    def has_kind(self) -> bool:
        """Whether the message has said by now if it is a snapshot or a delta."""
        return "whole" in self._fields

    @property
    def is_snapshot(self) -> bool:
        """Whether the message replaces the list; else it changes the endpoints that it names."""
        return bool(self._fields.get("whole"))


def backend_id_of(host: str) -> int:
    """Return the id of the backend with this host name: the same at every gateway and after every start."""
    digest = hashlib.blake2b(host.encode(), digest_size=BACKEND_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def parse_endpoint(raw: dict[str, Any]) -> ListedEndpoint:
    """Parse one entry of the list. Raises one of `MALFORMED_DATA_ERRORS` for anything else."""
    cell = int(raw.get("block") or 0)
    if not -CELL_LIMIT <= cell < CELL_LIMIT:
        raise ValueError(f"cell number out of range: {cell}")
    endpoint = Endpoint(
        backend_id=backend_id_of(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=cell,
        started_at=float(raw.get("born_ms") or 0),
        state=ENDPOINT_STATES[raw["health"]],
    )
    return ListedEndpoint(endpoint, parse_address(raw["dial"]))


def parse_endpoints(hosts: Iterable[Any]) -> tuple[ListedEndpoint, ...]:
    """Parse entries of the list. Raises EndpointListError if one is malformed."""
    try:
        return tuple(parse_endpoint(host) for host in hosts)
    except MALFORMED_DATA_ERRORS as error:
        raise EndpointListError(f"malformed endpoint: {type(error).__name__}: {error}") from error


def parse_version(raw: Any) -> int:
    """Return the version of a list. Raises EndpointListError if it has none."""
    try:
        return int(raw["seq"])
    except MALFORMED_DATA_ERRORS as error:
        raise EndpointListError(f"malformed version: {type(error).__name__}: {error}") from error


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Parse a list that is already decoded from JSON. Raises EndpointListError if it is malformed."""
    version = parse_version(raw)
    return EndpointList(version, parse_endpoints(raw.get("hosts") or ()))
