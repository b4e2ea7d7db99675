"""The base class of the gateway's own exceptions."""


class GatewayError(Exception):
    """Base class of the exceptions that the gateway defines and raises itself."""
