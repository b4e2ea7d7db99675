"""The endpoint list as discovery sends it, parsed into endpoints and their addresses.

The field names and the state names of discovery's JSON appear in this module only.
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

# Fields of a message, which is a snapshot of the list or a delta.

VERSION_FIELD = "seq"
"""Version of the list with the message applied."""

IS_SNAPSHOT_FIELD = "whole"
"""Whether the message is a snapshot; a delta if the field is false or absent."""

ENDPOINTS_FIELD = "hosts"
"""Entries of the list, or of a delta those that changed."""

# Fields of an entry.

HOST_FIELD = "host"
"""Host name of the backend, from which its id is derived."""

ADDRESS_FIELD = "dial"
"""Address of the backend, as "host:port"."""

ZONE_FIELD = "site"
"""Availability zone."""

CELL_FIELD = "block"
"""Number of the failure domain within the zone."""

STARTED_AT_FIELD = "born_ms"
"""Start of the backend's process, in Unix milliseconds."""

STATE_FIELD = "health"
"""State of the endpoint, one of the names in `ENDPOINT_STATES`."""

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}
"""State of an endpoint, by its name in `STATE_FIELD`."""

MESSAGE_PREFIX = b'{"%b"' % VERSION_FIELD.encode()
"""How each message begins, on a line of its own."""

BACKEND_ID_BYTES = 8
"""Length of a backend id, in bytes: 64 bits make a collision within one list practically impossible."""

CELL_LIMIT = 2**63
"""Cell numbers lie below this and not below its negative: they fit a signed 64-bit integer."""

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

    `version`, `is_snapshot` and `is_kind_known` hold for what has been parsed so far: discovery may send the
    version and the kind before or after the endpoints.
    """

    __slots__ = ("_fields", "_text")

    def __init__(self, text: bytes) -> None:
        """Raises EndpointListError if the message is not UTF-8."""
        try:
            self._text = text.decode()
        except UnicodeDecodeError as error:
            raise EndpointListError(f"expected a watch event in UTF-8: {error}") from error
        self._fields: dict[str, Any] = {}

    def batches(self, size: int) -> Iterator[tuple[ListedEndpoint, ...]]:
        """Parse the message and yield its endpoints, `size` at a time.

        Raises EndpointListError where it is malformed; batches before that place have been yielded by then.
        """
        try:
            for entries in iterate_array(self._text, ENDPOINTS_FIELD, size, self._fields):
                yield parse_endpoints(entries)
        except (JsonStreamError, RecursionError) as error:
            raise EndpointListError(f"expected a watch event in JSON: {error}") from error

    @property
    def version(self) -> int:
        """Version of the list with this message applied. Raises EndpointListError if there is none."""
        return parse_version(self._fields)

    @property
    def is_kind_known(self) -> bool:
        """Whether it is known by now if the message is a snapshot or a delta."""
        return IS_SNAPSHOT_FIELD in self._fields

    @property
    def is_snapshot(self) -> bool:
        """Whether the message replaces the list; else it changes the endpoints that it lists."""
        return bool(self._fields.get(IS_SNAPSHOT_FIELD))


def backend_id_of(host: str) -> int:
    """Return the id of the backend with this host name: the same at every gateway and after every start."""
    digest = hashlib.blake2b(host.encode(), digest_size=BACKEND_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def parse_endpoint(raw: Any) -> ListedEndpoint:
    """Parse one entry of the list. Raises EndpointListError if it is malformed."""
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
    """Return the cell number of an entry, 0 if it has none.

    Raises EndpointListError if the number is out of range, or one of `MALFORMED_DATA_ERRORS` if it is none.
    """
    cell = int(raw.get(CELL_FIELD) or 0)
    if not -CELL_LIMIT <= cell < CELL_LIMIT:
        raise EndpointListError(f"expected a cell number of 64 bits in {CELL_FIELD!r}, got {cell}")
    return cell


def parse_endpoints(entries: Iterable[Any]) -> tuple[ListedEndpoint, ...]:
    """Parse entries of the list. Raises EndpointListError if one is malformed."""
    return tuple(parse_endpoint(entry) for entry in entries)


def parse_version(raw: Any) -> int:
    """Return the version of a list. Raises EndpointListError if it has none."""
    try:
        return int(raw[VERSION_FIELD])
    except MALFORMED_DATA_ERRORS as error:
        raise _malformed(f"an endpoint list with a version in {VERSION_FIELD!r}", raw, error) from error


def parse_endpoint_list(raw: Any) -> EndpointList:
    """Parse a list that is already decoded from JSON. Raises EndpointListError if it is malformed."""
    version = parse_version(raw)
    try:
        entries = iter(raw.get(ENDPOINTS_FIELD) or ())
    except MALFORMED_DATA_ERRORS as error:
        raise _malformed(f"an array in {ENDPOINTS_FIELD!r} of the endpoint list", raw, error) from error
    return EndpointList(version, parse_endpoints(entries))


def _malformed(expected: str, raw: Any, error: Exception) -> EndpointListError:
    """Return the error for data that is not what was expected, with the cause and an extract of the data."""
    return EndpointListError(
        f"expected {expected}, got {reprlib.repr(raw)} ({type(error).__name__}: {error})"
    )
