"""Incremental parsers of the formats that peers send: RESP and JSON."""
