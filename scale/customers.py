"""The customers of a fleet, and the requests that they send."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from .gateway_configuration import DEADLINE_MS, PLAN_NAME, REQUEST_CLASS_NAME


class PickedCustomer(NamedTuple):
    """A customer's number, and the index of the first gateway that serves it."""

    number: int
    first_gateway: int


@dataclass(frozen=True, kw_only=True)
class CustomerPopulation:
    """The number of a fleet's customers, and how they are spread over its gateways."""

    count: int
    gateways: int
    gateways_per_customer: int
    seed: int
    first_number: int = 0
    """Offset of the customer numbers, so that two phases can have distinct customers."""


class CustomerSampler:
    """Picks random customers of a population, and makes their commands.

    Each customer is served by gateways with consecutive indexes, modulo the number of gateways.
    """

    def __init__(self, population: CustomerPopulation) -> None:
        self._population = population
        self._gateways_per_customer = min(population.gateways_per_customer, population.gateways)
        self._rng = random.Random(population.seed)

    def pick(self, gateway: int) -> PickedCustomer:
        """Pick a random customer that `gateway` serves."""
        gateways = self._population.gateways
        first_gateway = (gateway - self._rng.randrange(self._gateways_per_customer)) % gateways
        has_one_more = first_gateway < self._population.count % gateways
        candidate_count = self._population.count // gateways + has_one_more
        number = first_gateway
        if candidate_count:
            number += gateways * self._rng.randrange(candidate_count)
        return PickedCustomer(self._population.first_number + number, first_gateway)

    def make_command(self, gateway: int, request_id: int) -> list[bytes]:
        """Return the RESP arguments of a request by a random customer that `gateway` serves."""
        customer, first_gateway = self.pick(gateway)
        attributes = (
            f"c={REQUEST_CLASS_NAME},t={PLAN_NAME},d={DEADLINE_MS},units=1"
            f",spread={self._gateways_per_customer},first={first_gateway}"
        )
        return [b"API.READ", b"%016x" % customer, b"%016x" % request_id, attributes.encode()]
