"""TCP addresses, and the text form that configurations and endpoint lists give them in."""

from __future__ import annotations

from typing import NamedTuple

from gateway.errors import GatewayError


class AddressError(GatewayError, ValueError):
    """A text is no address of the form "host:port"."""


class Address(NamedTuple):
    """A TCP address; a plain tuple to `socket.connect`."""

    host: str
    port: int

    def __str__(self) -> str:
        """The form that `parse_address` reads."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """The address that "host:port" means.

    Raises:
        AddressError: `text` has no port, or one that is not a decimal number.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit():
        raise AddressError(f"expected an address of the form host:port, got {text!r}")
    return Address(host, int(port))
