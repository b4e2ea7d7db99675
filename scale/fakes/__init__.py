"""Fakes of the services around a gateway: discovery, the counter and the backends, on loopback ports."""
