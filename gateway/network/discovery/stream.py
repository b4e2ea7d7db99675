"""An HTTP call to discovery, which yields the JSON objects of the response as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

import h11

from gateway.errors import GatewayError
from gateway.network.address import Address
from gateway.network.codecs.json_stream import JsonObjectReader

from .endpoint_list import MESSAGE_PREFIX

LIST_PATH = "/catalog/members"
"""Path of the endpoint list; without a query, the response is a snapshot."""

WATCH_QUERY = "stream=1&index="
"""Query of a watch; the version is appended, and discovery sends the changes after it."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout, in seconds, for establishing a connection; one of the delays added up in docs/endings.md."""

HEARTBEAT_TIMEOUT_S = 2.75
"""Timeout, in seconds, for receiving data; discovery sends an empty line as a heartbeat every 2 s.

One of the delays added up in docs/endings.md.
"""

READ_SIZE = 65_536
"""Maximum number of bytes per read."""

OK_STATUS = 200
"""The only HTTP status of responses that contain a list."""

OVERLOAD_STATUSES = frozenset({429, 503})
"""HTTP statuses with which discovery sheds load."""


class DiscoveryError(GatewayError):
    """Raised if discovery answers a call with an error status; the previous list stays in effect."""


class DiscoveryOverloadedError(DiscoveryError):
    """Raised if discovery rejects a call because of overload, which an immediate retry would prolong."""


def list_target(version: int | None) -> str:
    """Return the request target of a watch for changes after `version`, or of a snapshot if it is None."""
    if version is None:
        return LIST_PATH
    return f"{LIST_PATH}?{WATCH_QUERY}{version}"


async def stream_objects(
    address: Address, target: str, on_accepted: Callable[[], None]
) -> AsyncGenerator[bytes, None]:
    """Call discovery and yield the text of each JSON object of the response until the response ends.

    `on_accepted` is called once a response with a success status begins. Closing the generator closes the
    connection.

    Raises:
        OSError: the connection failed; its subclass TimeoutError, if the connection was not established in
            time or heartbeats are missing.
        h11.ProtocolError: the response is not valid HTTP.
        DiscoveryError: the response has an error status.
        JsonStreamError: an object is truncated or too long.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        http = h11.Connection(h11.CLIENT)
        writer.write(_encode_request(http, address, target))
        objects = JsonObjectReader(MESSAGE_PREFIX)
        while True:
            event = await _next_event(http, reader)
            if isinstance(event, h11.Response):
                _check_status(event.status_code, address)
                on_accepted()
            elif isinstance(event, h11.Data):
                for text in objects.feed(event.data):
                    yield text
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                for text in objects.end():
                    yield text
                return
    finally:
        writer.close()


def _encode_request(http: h11.Connection, address: Address, target: str) -> bytes:
    headers = [("Host", str(address)), ("Accept", "application/json")]
    head = http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
    end = http.send(h11.EndOfMessage()) or b""
    return head + end


async def _next_event(
    http: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    """Return the next HTTP event, reading from the connection until one is complete."""
    while (event := http.next_event()) is h11.NEED_DATA:
        # A peer that becomes unreachable sends neither FIN nor RST; only missing heartbeats show it.
        async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
            http.receive_data(await reader.read(READ_SIZE))
    return event


def _check_status(status: int, address: Address) -> None:
    if status in OVERLOAD_STATUSES:
        raise DiscoveryOverloadedError(f"discovery at {address} shed the call with HTTP status {status}")
    if status != OK_STATUS:
        raise DiscoveryError(f"expected HTTP status {OK_STATUS} from discovery at {address}, got {status}")
