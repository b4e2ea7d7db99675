"""The exception of the simulator adapter."""

from gateway.errors import GatewayError


class WireFormatError(GatewayError):
    """Raised if a line from the simulator violates the protocol; the adapter then exits."""
