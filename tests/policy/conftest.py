from __future__ import annotations

import pytest

from tests.support.policy_harness import PolicyHarness


@pytest.fixture
def harness() -> PolicyHarness:
    """One of two gateways, with the default settings and three ready backends."""
    return PolicyHarness()


@pytest.fixture
def unlimited_harness() -> PolicyHarness:
    """The same without quotas, so that backends and load alone decide."""
    return PolicyHarness.without_quotas()
