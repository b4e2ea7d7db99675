"""TCP addresses and their text form, host:port, in configurations and endpoint lists."""

from __future__ import annotations

from typing import NamedTuple

from gateway.errors import GatewayError


class AddressError(GatewayError, ValueError):
    """Raised if a text is not an address of the form "host:port"."""


class Address(NamedTuple):
    """A TCP address; as a tuple, it can be passed to `socket.connect`."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as "host:port", which `parse_address` accepts."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form "host:port".

    Raises:
        AddressError: `text` has no port, or one that is not a decimal number.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit():
        raise AddressError(f"expected an address of the form host:port, got {text!r}")
    return Address(host, int(port))
