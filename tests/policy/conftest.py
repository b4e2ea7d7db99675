from __future__ import annotations

import pytest

from tests.support.policy_harness import PolicyHarness


@pytest.fixture
def harness() -> PolicyHarness:
    """The policy of one of two gateways, with the default settings and three ready backends."""
    return PolicyHarness()


@pytest.fixture
def unlimited_harness() -> PolicyHarness:
    """A policy without quotas, so that only the backends and the load decide."""
    return PolicyHarness.without_quotas()
