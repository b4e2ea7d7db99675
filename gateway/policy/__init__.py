"""The decisions of a gateway: events in, actions out, no I/O and no clock."""

from .policy import GatewayPolicy

__all__ = ["GatewayPolicy"]
