"""Names of the attributes of a request on the wire, and the terms that the program uses for them.

A request carries its attributes as one argument, such as `c=view,t=free,d=480,units=1,spread=1,first=0`.
"""

from __future__ import annotations

SEPARATOR = b","
"""Between two attributes of the list."""

ASSIGNMENT = b"="
"""Between the name and the value of an attribute."""

REQUEST_CLASS = b"c"
"""Name of the request class."""

PLAN = b"t"
"""Name of the customer's plan."""

REMAINING_MS = b"d"
"""Remaining time until the deadline, in milliseconds; the only attribute that changes when forwarded."""

IDEMPOTENCY_KEY = b"k"
"""Idempotency key; required of the classes that are idempotent with a key."""

IS_RETRY = b"r"
"""Whether the client has sent the request before."""

IS_RETRY_VALUE = b"1"
"""Value of `IS_RETRY` by which a request is a retry; any other value, or none, is a first attempt."""

COST = b"units"
"""Cost of the request, in units of the customer's quota."""

GATEWAY_SET_SIZE = b"spread"
"""Number of gateways that receive requests of the customer."""

GATEWAY_SET_START = b"first"
"""Index of the first gateway of that set."""
