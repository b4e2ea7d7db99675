"""Tests of the choice of customers for a gateway."""

from __future__ import annotations

import pytest

from scale.customers import CustomerPopulation, CustomerSampler


@pytest.mark.parametrize("gateway", range(10))
def test_a_gateway_gets_only_customers_that_it_serves(gateway: int) -> None:
    population = CustomerPopulation(count=1_000, gateways=10, gateways_per_customer=3, seed=1)
    customers = CustomerSampler(population)

    picked = {customers.pick(gateway) for _ in range(2_000)}

    assert all((gateway - customer.first_gateway) % 10 < 3 for customer in picked)
    assert all(customer.number % 10 == customer.first_gateway for customer in picked)
    assert len(picked) == pytest.approx(300, abs=5)
