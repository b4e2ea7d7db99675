"""The RESP server that clients connect to, and the requests that they send."""
