"""TCP addresses, and the text form that configurations and endpoint lists give them in."""

from __future__ import annotations

from typing import NamedTuple


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
        ValueError: `text` has no port, or one that is not a decimal number.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
