"""One HTTP call to discovery: the JSON objects of its answer, as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

import h11

from gateway.errors import GatewayError
from gateway.network.address import Address
from gateway.network.codecs.json_stream import JsonObjectReader

LIST_PATH = "/catalog/members"
"""Path of the endpoint list at discovery."""

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection, in seconds; a part of the sums in docs/endings.md."""

SILENCE_TIMEOUT_S = 2.75
"""Longest wait for the next bytes, in seconds: discovery sends an empty line as a heartbeat every 2 s.

A part of the sums in docs/endings.md.
"""

READ_SIZE = 65_536
"""Most bytes that are read at once."""

OK_STATUS = 200
"""The one HTTP status of an answer that holds a list."""

OVERLOAD_STATUSES = frozenset({429, 503})
"""HTTP statuses by which discovery sheds load."""


class DiscoveryError(GatewayError):
    """Discovery answered a call with an error status; the previous list stays in force."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected a call because it is overloaded; calls that follow at once would keep it so."""


def list_target(version: int | None) -> str:
    """Return the request target of a watch from a version on, or of the whole list if none is known."""
    if version is None:
        return LIST_PATH
    return f"{LIST_PATH}?stream=1&index={version}"


async def stream_objects(
    address: Address, target: str, on_accepted: Callable[[], None]
) -> AsyncGenerator[bytes, None]:
    """Call discovery and yield the text of each JSON object of its answer until the answer ends.

    `on_accepted` is called once the answer begins, with a status that promises a list. Close the generator to
    close the connection.

    Raises:
        OSError: the connection failed; TimeoutError, which is one, if it fell silent.
        h11.ProtocolError: the answer is not HTTP.
        DiscoveryError: the answer has an error status.
        JsonStreamError: an object was cut short or is too long.
    """
    host, port = address
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
    try:
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
        writer.write(http.send(h11.Request(method="GET", target=target, headers=headers)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        objects = JsonObjectReader()
        while True:
            event = await _next_event(http, reader)
            if isinstance(event, h11.Response):
                _check_status(event.status_code)
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


async def _next_event(
    http: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    """Return the next HTTP event, reading from the connection as long as one is incomplete."""
    while (event := http.next_event()) is h11.NEED_DATA:
        # Danger: a host that is cut off sends no end; only the missing heartbeats show it.
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            http.receive_data(await reader.read(READ_SIZE))
    return event


def _check_status(status: int) -> None:
    if status in OVERLOAD_STATUSES:
        raise DiscoveryOverloadedError(f"status {status}")
    if status != OK_STATUS:
        raise DiscoveryError(f"status {status}")
