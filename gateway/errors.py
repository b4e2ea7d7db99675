"""Base class of the errors that the gateway raises on purpose."""

from __future__ import annotations


class GatewayError(Exception):
    """Base class of the errors that the gateway raises on purpose."""
