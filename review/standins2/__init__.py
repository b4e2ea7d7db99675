"""Stand-ins for clients, backends, discovery and the counter, for the cases of the second review."""
