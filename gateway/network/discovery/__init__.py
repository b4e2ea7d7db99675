"""Client of the discovery service: watches the endpoint list."""
