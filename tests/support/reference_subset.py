"""A simple reference implementation of deterministic subsetting, to compare the policy's subset with."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

from gateway.policy.events import Endpoint, UpdateKind
from gateway.policy.subsetting import MIN_GATEWAYS_PER_BACKEND, MIN_SUBSET_SIZE
from tests.support.endpoints import READY, REMOVED

FLEET_GATEWAY_COUNT = 3_700
"""Number of gateways in tests with long endpoint lists."""


class ReferenceSubset:
    """One gateway's subset of the endpoint list; hashes and sorts all ready backends at every read."""

    def __init__(self, gateway_index: int, gateway_count: int) -> None:
        self.gateway_index = gateway_index
        self.gateway_count = gateway_count
        self.listed: dict[int, Endpoint] = {}

    def apply(self, kind: UpdateKind, endpoints: Iterable[Endpoint]) -> None:
        """Apply a complete update; unless it is a delta, remove the backends that it omits."""
        endpoints = list(endpoints)
        if kind is not UpdateKind.DELTA:
            listed_ids = {endpoint.backend_id for endpoint in endpoints}
            self.listed = {
                backend_id: endpoint
                for backend_id, endpoint in self.listed.items()
                if backend_id in listed_ids
            }
        for endpoint in endpoints:
            if endpoint.state is REMOVED:
                self.listed.pop(endpoint.backend_id, None)
            else:
                self.listed[endpoint.backend_id] = endpoint

    def ready_ids(self) -> list[int]:
        """Return the ids of the ready backends, in the order of the list."""
        return [endpoint.backend_id for endpoint in self.listed.values() if endpoint.state is READY]

    def backend_ids(self) -> list[int]:
        """Return the ids of the gateway's subset, in order: a window of the permutation of its round."""
        ready_ids = self.ready_ids()
        ready_count = len(ready_ids)
        min_size = max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND * ready_count / max(1, self.gateway_count))
        window_count = 2 ** max(0, math.floor(math.log2(max(1.0, ready_count / min_size))))
        round_number, window_index = divmod(self.gateway_index, window_count)
        if window_count > 1:
            ready_ids.sort(key=lambda backend_id: self._sort_key(round_number, backend_id))
        return ready_ids[
            ready_count * window_index // window_count : ready_count * (window_index + 1) // window_count
        ]

    @staticmethod
    def _sort_key(round_number: int, backend_id: int) -> bytes:
        return hashlib.blake2b(f"{round_number}:{backend_id}".encode(), digest_size=8).digest()
