"""The names of a request's attributes on the wire, as constants named in the gateway's own terms.

A request carries its attributes as one argument, such as `c=view,t=free,d=480,units=1,spread=1,first=0`.
"""

from __future__ import annotations

SEPARATOR = b","
"""Separates two attributes of the list."""

ASSIGNMENT = b"="
"""Separates the name and the value of an attribute."""

REQUEST_CLASS = b"c"
"""Attribute: name of the request class."""

PLAN = b"t"
"""Attribute: name of the customer's plan."""

REMAINING_MS = b"d"
"""Attribute: remaining time until the deadline, in milliseconds; the only one that forwarding changes."""

IDEMPOTENCY_KEY = b"k"
"""Attribute: idempotency key, which is required for the classes that are idempotent only with a key."""

IS_RETRY = b"r"
"""Attribute: whether the client has sent the request before."""

IS_RETRY_VALUE = b"1"
"""Value of `IS_RETRY` that marks a retry; any other value, or none, marks a first attempt."""

COST = b"units"
"""Attribute: cost of the request, in units of the customer's quota."""

GATEWAY_SET_SIZE = b"spread"
"""Attribute: number of gateways that receive the customer's requests."""

GATEWAY_SET_START = b"first"
"""Attribute: index of the first of the gateways that receive the customer's requests."""
