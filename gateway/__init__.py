"""umbermill: an API gateway that meters how much each customer uses shared backends."""
