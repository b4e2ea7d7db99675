"""A plain reference of deterministic subsetting, and endpoint lists to compare with it."""

from __future__ import annotations

import hashlib
import math

from gateway.policy.events import Endpoint, EndpointState, UpdateKind
from gateway.policy.subsetting import MIN_GATEWAYS_PER_BACKEND, SUBSET_SIZE
from tests.support.policy_harness import entry

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED
FLEET_SIZE = 3_700
"""Gateways of the fleet that the long lists are for."""


class ReferenceSubset:
    """The plain way: everything is sorted and hashed at every change."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        self.gateway_index = gateway_index
        self.gateway_count = gateway_count
        self.listed: dict[int, Endpoint] = {}

    def apply(self, kind: UpdateKind, endpoints: list[Endpoint]) -> None:
        if kind is not UpdateKind.DELTA:
            named = {endpoint.backend_id for endpoint in endpoints}
            self.listed = {
                backend_id: endpoint for backend_id, endpoint in self.listed.items() if backend_id in named
            }
        for endpoint in endpoints:
            if endpoint.state is REMOVED:
                self.listed.pop(endpoint.backend_id, None)
            else:
                self.listed[endpoint.backend_id] = endpoint

    def ready_ids(self) -> list[int]:
        return [endpoint.backend_id for endpoint in self.listed.values() if endpoint.state is READY]

    def backend_ids(self) -> list[int]:
        ready_ids = self.ready_ids()
        count = len(ready_ids)
        size = max(SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND * count / max(1, self.gateway_count))
        window_count = 2 ** max(0, math.floor(math.log2(max(1.0, count / size))))
        round_number, number = divmod(self.gateway_index, window_count)
        if window_count > 1:
            ready_ids.sort(
                key=lambda b: hashlib.blake2b(f"{round_number}:{b}".encode(), digest_size=8).digest()
            )
        return ready_ids[count * number // window_count : count * (number + 1) // window_count]


def ready_endpoints(backend_ids: range, cells: int = 5) -> list[Endpoint]:
    return [entry(backend_id, cell=backend_id % cells) for backend_id in backend_ids]
