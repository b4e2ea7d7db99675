"""Incremental readers of the formats that peers send: RESP and JSON."""
