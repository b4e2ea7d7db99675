"""Validation of the request commands that clients send, `API.READ` and `API.WRITE`.

The arguments of both are customer, request id, a list of `name=value` attributes and an optional body.
Clients are not trusted: each argument is checked here before the policy receives any of them. The names of
the attributes are in `request_attributes`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from gateway.errors import GatewayError
from gateway.network.codecs.resp import encode_bulk_string
from gateway.policy.settings import Idempotency, RequestClass, Settings

from .request_attributes import (
    ASSIGNMENT,
    COST,
    GATEWAY_SET_SIZE,
    GATEWAY_SET_START,
    IDEMPOTENCY_KEY,
    IS_RETRY,
    IS_RETRY_VALUE,
    PLAN,
    REMAINING_MS,
    REQUEST_CLASS,
    SEPARATOR,
)

REQUEST_COMMANDS = {b"API.READ": True, b"API.WRITE": False}
"""The request commands, and whether each is for idempotent request classes or for all others."""

MIN_ARGUMENTS = 4
"""Minimum number of arguments of a request command: its name, customer, request id and attributes."""

MAX_ARGUMENTS = 5
"""Maximum number of arguments of a request command: its name, customer, request id, attributes and body."""

MAX_DEADLINE_MULTIPLE = 2.0
"""Maximum remaining time that a request may state, as a multiple of the deadline of its class."""

CUSTOMER_COUNT = 2**33
"""Number of possible customers; a customer is identified by a number from 0, in 16 hexadecimal digits."""

# The patterns are strict because `float` and `int` also accept nan, 1_0, +1 and spaces.
DECIMAL_PATTERN = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")
INTEGER_PATTERN = re.compile(rb"\d{1,6}")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
IDENTIFIER_PATTERN = re.compile(rb"[!-~]{1,64}")

REMAINING_MS_AT_START = REMAINING_MS + ASSIGNMENT
REMAINING_MS_AFTER_ANOTHER = SEPARATOR + REMAINING_MS + ASSIGNMENT


class InvalidRequestError(GatewayError, ValueError):
    """Raised for a command that is not a request the settings allow; the client receives its message."""


@dataclass(slots=True)
class ClientRequest:
    """A valid request of a client, with its arguments as they are forwarded.

    Everything except the remaining time is forwarded to the backend byte for byte.
    """

    leading_arguments: bytes
    """The encoded command name, customer and request id."""
    attributes_before_remaining_time: bytes
    attributes_after_remaining_time: bytes
    trailing_arguments: bytes
    """The encoded body; empty if the request has none."""
    argument_count: int
    id: str
    customer: str
    request_class: str
    plan: str
    remaining_ms: float
    """Milliseconds for which the client waits for the reply, from the time the request is processed."""
    cost: float
    gateway_set_size: int
    gateway_set_start: int
    is_retry: bool

    def deduct_waiting_time(self, waiting_ms: float) -> None:
        """Take the time between the receipt of the request and its processing off its remaining time."""
        self.remaining_ms -= waiting_ms

    def encode(self, remaining_ms: int) -> bytes:
        """Return the encoded command for a backend that has `remaining_ms` milliseconds left to respond."""
        attributes = b"%b%d%b" % (
            self.attributes_before_remaining_time,
            remaining_ms,
            self.attributes_after_remaining_time,
        )
        return b"*%d\r\n%b%b%b" % (
            self.argument_count,
            self.leading_arguments,
            encode_bulk_string(attributes),
            self.trailing_arguments,
        )


class _ClassRules:
    """Rules for the requests of one class, computed once rather than for each request."""

    __slots__ = ("is_idempotent", "max_remaining_ms", "name", "needs_key")

    def __init__(self, request_class: RequestClass) -> None:
        self.name = request_class.name
        self.is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        self.needs_key = request_class.idempotency is Idempotency.WITH_KEY
        self.max_remaining_ms = request_class.deadline_ms * MAX_DEADLINE_MULTIPLE


class RequestParser:
    """Parses the arguments of request commands into requests that the settings allow."""

    def __init__(self, settings: Settings) -> None:
        self._class_rules = {c.name.encode(): _ClassRules(c) for c in settings.request_classes}
        self._plans = {p.name.encode(): p.name for p in settings.plans}
        self._max_request_cost = settings.max_request_cost
        self._gateway_count = settings.gateway_count

    def parse(self, arguments: list[bytes]) -> ClientRequest:
        """Check the arguments of one of `REQUEST_COMMANDS`, including its name, and return the request.

        No later stage checks the arguments again. An unknown plan would have no quota, a negative cost would
        add to the customer's bucket and lower the counter's total for all gateways, and the plan of a
        customer's first request is stored for its later ones.

        Raises:
            InvalidRequestError: the arguments are malformed, out of range or not of a known class and plan.
        """
        if not MIN_ARGUMENTS <= len(arguments) <= MAX_ARGUMENTS:
            raise InvalidRequestError("wrong number of arguments")
        command, customer, request_id, attribute_list = arguments[:MIN_ARGUMENTS]
        attributes = _split_attributes(attribute_list)
        rules, plan = self._resolve_class_and_plan(command, attributes)
        customer_number = _parse_customer(customer)
        _check_identifiers(request_id, attributes, rules)
        remaining_ms = _parse_decimal(attributes, REMAINING_MS)
        cost = _parse_decimal(attributes, COST)
        gateway_set_size = _parse_integer(attributes, GATEWAY_SET_SIZE)
        gateway_set_start = _parse_integer(attributes, GATEWAY_SET_START)
        if not 0 < remaining_ms <= rules.max_remaining_ms:
            raise InvalidRequestError("time left out of range")
        self._check_cost(cost)
        self._check_gateway_set(gateway_set_size, gateway_set_start)
        remaining_start = _find_remaining_time(attribute_list)
        remaining_end = remaining_start + len(attributes[REMAINING_MS])
        # Positional arguments: with keywords, `parse` as a whole took 10% longer.
        return ClientRequest(
            encode_bulk_string(command) + encode_bulk_string(customer) + encode_bulk_string(request_id),
            attribute_list[:remaining_start],
            attribute_list[remaining_end:],
            encode_bulk_string(arguments[4]) if len(arguments) > MIN_ARGUMENTS else b"",
            len(arguments),
            request_id.decode("ascii"),
            f"{customer_number:016x}",
            rules.name,
            plan,
            remaining_ms,
            cost,
            gateway_set_size,
            gateway_set_start,
            attributes.get(IS_RETRY) == IS_RETRY_VALUE,
        )

    def _resolve_class_and_plan(
        self, command: bytes, attributes: dict[bytes, bytes]
    ) -> tuple[_ClassRules, str]:
        rules = self._class_rules.get(attributes.get(REQUEST_CLASS, b""))
        if rules is None:
            raise InvalidRequestError("unknown class")
        plan = self._plans.get(attributes.get(PLAN, b""))
        if plan is None:
            raise InvalidRequestError("unknown plan")
        if REQUEST_COMMANDS[command.upper()] is not rules.is_idempotent:
            raise InvalidRequestError("class of another command")
        return rules, plan

    def _check_cost(self, cost: float) -> None:
        if not 0 < cost <= self._max_request_cost:
            raise InvalidRequestError("units out of range")

    def _check_gateway_set(self, size: int, start: int) -> None:
        if not (1 <= size <= self._gateway_count and start < self._gateway_count):
            raise InvalidRequestError("set out of range")


def _split_attributes(attribute_list: bytes) -> dict[bytes, bytes]:
    attributes: dict[bytes, bytes] = {}
    for attribute in attribute_list.split(SEPARATOR):
        name, equals, value = attribute.partition(ASSIGNMENT)
        if not equals or name in attributes:
            raise InvalidRequestError("malformed attributes")
        attributes[name] = value
    return attributes


def _parse_customer(text: bytes) -> int:
    if not CUSTOMER_PATTERN.fullmatch(text):
        raise InvalidRequestError("malformed customer")
    number = int(text, 16)
    if number >= CUSTOMER_COUNT:
        raise InvalidRequestError("malformed customer")
    return number


def _check_identifiers(request_id: bytes, attributes: dict[bytes, bytes], rules: _ClassRules) -> None:
    if not IDENTIFIER_PATTERN.fullmatch(request_id):
        raise InvalidRequestError("malformed id")
    if rules.needs_key and not IDENTIFIER_PATTERN.fullmatch(attributes.get(IDEMPOTENCY_KEY, b"")):
        raise InvalidRequestError("key missing")


def _parse_decimal(attributes: dict[bytes, bytes], name: bytes) -> float:
    text = attributes.get(name, b"")
    if not DECIMAL_PATTERN.fullmatch(text):
        raise InvalidRequestError(f"{name.decode()} is no number")
    return float(text)


def _parse_integer(attributes: dict[bytes, bytes], name: bytes) -> int:
    text = attributes.get(name, b"")
    if not INTEGER_PATTERN.fullmatch(text):
        raise InvalidRequestError(f"{name.decode()} is no number")
    return int(text)


def _find_remaining_time(attribute_list: bytes) -> int:
    """Return the index of the remaining time's value in an attribute list, which must contain it."""
    if attribute_list.startswith(REMAINING_MS_AT_START):
        return len(REMAINING_MS_AT_START)
    return attribute_list.index(REMAINING_MS_AFTER_ANOTHER) + len(REMAINING_MS_AFTER_ANOTHER)
