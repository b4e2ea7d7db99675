"""The customers of a fleet, and what their requests say of themselves."""

from __future__ import annotations

import random
from typing import NamedTuple

from .gateway_configuration import DEADLINE_MS, PLAN_NAME, REQUEST_CLASS_NAME


class PickedCustomer(NamedTuple):
    """A customer's number, and the first gateway of those that serve it."""

    number: int
    first_gateway: int


class Customers:
    """The customers of a fleet: each is served by `spread` gateways in a row, which wraps round."""

    def __init__(self, customers: int, gateways: int, spread: int, seed: int, first_number: int = 0) -> None:
        """`first_number` is added to the customers' numbers, to keep them apart from another run's."""
        self.spread = min(spread, gateways)
        self._customers = customers
        self._gateways = gateways
        self._first_number = first_number
        self._rng = random.Random(seed)

    def pick(self, gateway: int) -> PickedCustomer:
        """Pick a customer that `gateway` serves."""
        number = 0
        first_gateway = (gateway - self._rng.randrange(self.spread)) % self._gateways
        has_one_more = first_gateway < self._customers % self._gateways
        candidates = self._customers // self._gateways + has_one_more
        if candidates:
            number = self._gateways * self._rng.randrange(candidates)
        return PickedCustomer(self._first_number + number + first_gateway, first_gateway)

    def request(self, gateway: int, request_id: int) -> list[bytes]:
        """Return a command of one of the customers that `gateway` serves."""
        customer, first_gateway = self.pick(gateway)
        attributes = (
            f"c={REQUEST_CLASS_NAME},t={PLAN_NAME},d={DEADLINE_MS},units=1"
            f",spread={self.spread},first={first_gateway}"
        )
        return [b"API.READ", b"%016x" % customer, b"%016x" % request_id, attributes.encode()]
