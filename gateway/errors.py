"""The base of all errors that the gateway raises on purpose."""


class GatewayError(Exception):
    """Base class of the errors that the gateway raises on purpose."""
