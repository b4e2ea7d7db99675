"""Fakes of what surrounds a gateway: discovery, the counter and the backends, on loopback ports."""
