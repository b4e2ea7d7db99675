"""Connections to the backends, and the attempts that use them."""
