"""The watch of the endpoint list at the discovery service."""
