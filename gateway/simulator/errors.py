"""The error of the simulator's adapter."""

from gateway.errors import GatewayError


class WireFormatError(GatewayError):
    """The simulator sent what its protocol does not allow; the adapter cannot go on."""
