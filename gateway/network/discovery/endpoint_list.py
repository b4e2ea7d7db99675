"""Parser of the endpoint list that discovery sends, into endpoints and their addresses.

The names of fields and states in discovery's JSON appear in this module only.
"""

from __future__ import annotations

import hashlib
import reprlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from gateway.errors import GatewayError
from gateway.network.address import Address, parse_address
from gateway.network.codecs.json_stream import JsonStreamError, iterate_array
from gateway.policy.events import Endpoint, EndpointState

# Fields of a message, which is either a snapshot of the list or a delta.

VERSION_FIELD = "seq"
"""Version of the list after the message is applied."""

IS_SNAPSHOT_FIELD = "whole"
"""Whether the message is a snapshot; if false or absent, the message is a delta."""

ENDPOINTS_FIELD = "hosts"
"""All entries of the list in a snapshot, the changed entries in a delta."""

# Fields of an entry.

HOST_FIELD = "host"
"""Host name of the backend, from which the backend id is derived."""

ADDRESS_FIELD = "dial"
"""Address of the backend, as "host:port"."""

ZONE_FIELD = "site"
"""Availability zone of the backend."""

CELL_FIELD = "block"
"""Number of the backend's cell, a failure domain within the zone."""

STARTED_AT_FIELD = "born_ms"
"""Start time of the backend's process, in Unix milliseconds."""

STATE_FIELD = "health"
"""State of the endpoint, one of the names in `ENDPOINT_STATES`."""

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}
"""Endpoint states by their names in `STATE_FIELD`."""

MESSAGE_PREFIX = b'{"%b"' % VERSION_FIELD.encode()
"""First bytes of a message; each message begins on a new line."""

BACKEND_ID_BYTES = 8
"""Length of a backend id, in bytes; 64 bits make a collision within a list practically impossible."""

CELL_LIMIT = 2**63
"""Cell numbers are at least `-CELL_LIMIT` and less than `CELL_LIMIT`: they fit a signed 64-bit integer."""

MALFORMED_DATA_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""Exceptions that reading a field raises if the data does not have the expected form."""


class EndpointListError(GatewayError):
    """Raised if discovery sends data that violates its protocol; the previous list stays in effect."""


class ListedEndpoint(NamedTuple):
    """An endpoint of the list and its network address."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An endpoint list that was parsed as a whole, and its version."""

    version: int
    endpoints: tuple[ListedEndpoint, ...]


class EndpointListMessage:
    """A message from discovery, which is parsed in batches of endpoints.

    `version`, `is_snapshot` and `is_kind_known` reflect what has been parsed so far: discovery may send the
    version and the kind before or after the endpoints.
    """

    __slots__ = ("_fields", "_text")

    def __init__(self, text: bytes) -> None:
        """Decode the message. Raises EndpointListError if it is not UTF-8."""
        try:
            self._text = text.decode()
        except UnicodeDecodeError as error:
            raise EndpointListError(f"expected a watch event in UTF-8: {error}") from error
        self._fields: dict[str, Any] = {}

    def batches(self, size: int) -> Iterator[tuple[ListedEndpoint, ...]]:
        """Parse the message and yield its endpoints, `size` at a time.

        Raises EndpointListError if the message is malformed; the batches before the malformed data have been
        yielded by then.
        """
        try:
            for entries in iterate_array(self._text, ENDPOINTS_FIELD, size, self._fields):
                yield parse_endpoints(entries)
        except (JsonStreamError, RecursionError) as error:
            raise EndpointListError(f"expected a watch event in JSON: {error}") from error

    @property
    def version(self) -> int:
        """Version of the list after this message is applied. Raises EndpointListError if it has none."""
        return parse_version(self._fields)

    @property
    def is_kind_known(self) -> bool:
        """Whether the part parsed so far shows if the message is a snapshot or a delta."""
        return IS_SNAPSHOT_FIELD in self._fields

    @property
    def is_snapshot(self) -> bool:
        """Whether the message replaces the list; otherwise it changes only the endpoints that it contains."""
        return bool(self._fields.get(IS_SNAPSHOT_FIELD))


def backend_id_of(host: str) -> int:
    """Return the backend id of a host name, which is the same on all gateways and after each restart."""
    digest = hashlib.blake2b(host.encode(), digest_size=BACKEND_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def parse_endpoint(raw: Any) -> ListedEndpoint:
    """Parse an entry of the list. Raises EndpointListError if it is malformed."""
    try:
        endpoint = Endpoint(
            backend_id=backend_id_of(raw[HOST_FIELD]),
            zone=str(raw.get(ZONE_FIELD) or ""),
            cell=parse_cell(raw),
            started_at=float(raw.get(STARTED_AT_FIELD) or 0),
            state=ENDPOINT_STATES[raw[STATE_FIELD]],
        )
        return ListedEndpoint(endpoint, parse_address(raw[ADDRESS_FIELD]))
    except MALFORMED_DATA_ERRORS as error:
        raise _malformed("an endpoint entry", raw, error) from error


def parse_cell(raw: Any) -> int:
    """Return the cell number of an entry, or 0 if it has none.

    Raises EndpointListError if the number is out of range, or one of `MALFORMED_DATA_ERRORS` if the value is
    not a number.
    """
    cell = int(raw.get(CELL_FIELD) or 0)
    if not -CELL_LIMIT <= cell < CELL_LIMIT:
        raise EndpointListError(f"expected a 64-bit cell number in {CELL_FIELD!r}, got {cell}")
    return cell


def parse_endpoints(entries: Iterable[Any]) -> tuple[ListedEndpoint, ...]:
    """Parse entries of the list. Raises EndpointListError if any of them is malformed."""
    return tuple(parse_endpoint(entry) for entry in entries)


def parse_version(raw: Any) -> int:
    """Return the version of a list. Raises EndpointListError if it is missing or not a number."""
    try:
        return int(raw[VERSION_FIELD])
    except MALFORMED_DATA_ERRORS as error:
        raise _malformed(f"an endpoint list with a version in {VERSION_FIELD!r}", raw, error) from error


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Parse a list that has been decoded from JSON. Raises EndpointListError if it is malformed."""
    version = parse_version(raw)
    try:
        entries = iter(raw.get(ENDPOINTS_FIELD) or ())
    except MALFORMED_DATA_ERRORS as error:
        raise _malformed(f"an array in {ENDPOINTS_FIELD!r} of the endpoint list", raw, error) from error
    return EndpointList(version, parse_endpoints(entries))


def _malformed(expected: str, raw: Any, error: Exception) -> EndpointListError:
    """Return an error that names the expected data and the cause, with an excerpt of the actual data."""
    return EndpointListError(
        f"expected {expected}, got {reprlib.repr(raw)} ({type(error).__name__}: {error})"
    )
