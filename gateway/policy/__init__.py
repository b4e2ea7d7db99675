"""The decisions of a gateway: a policy handles events and returns actions, without I/O or a clock."""

from .policy import GatewayPolicy

__all__ = ["GatewayPolicy"]
