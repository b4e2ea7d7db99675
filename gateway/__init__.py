"""umbermill: an API gateway that meters many customers' use of shared backends."""
