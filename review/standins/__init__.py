"""Stand-ins for clients, backends, discovery, the counter and the platform, on loopback addresses."""
