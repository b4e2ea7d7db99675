"""Builds the request commands that clients send."""

from __future__ import annotations

from collections.abc import Iterable

from tests.support.resp_peer import encode_command


def request_command(  # noqa: PLR0913 - tests pass the attributes that they depend on, by keyword
    id: bytes = b"9b1f03aa5c7e2d41",
    *,
    request_class: bytes = b"view",
    plan: bytes = b"free",
    remaining_ms: int = 3000,
    body: bytes | None = None,
    customer: bytes = b"00000000b4d65521",
    gateway_set_size: int = 1,
    idempotency_key: bytes | None = None,
    command: bytes | None = None,
) -> tuple[bytes, ...]:
    """Return the arguments of a request command; by default, its class is idempotent and no quota applies."""
    key_attribute = b"" if idempotency_key is None else b",k=" + idempotency_key
    attributes = b"c=%b,t=%b,d=%d%b,units=1,spread=%d,first=0" % (
        request_class,
        plan,
        remaining_ms,
        key_attribute,
        gateway_set_size,
    )
    if command is None:
        command = b"API.READ" if request_class == b"view" else b"API.WRITE"
    arguments = (command, customer, id, attributes)
    return arguments if body is None else (*arguments, body)


def pipelined_requests(ids: Iterable[bytes]) -> bytes:
    """Return the encoded request commands with these ids, one after another."""
    return b"".join(encode_command(*request_command(id)) for id in ids)
