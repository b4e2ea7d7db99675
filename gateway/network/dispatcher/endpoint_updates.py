"""Applies discovery's endpoint updates to the backend pool, then delivers them to the policy."""

from __future__ import annotations

from collections.abc import Callable

from gateway.network.backends.pool import BackendPool
from gateway.network.discovery.endpoint_list import ListedEndpoint
from gateway.policy.events import EndpointUpdate, Event, UpdateKind


class EndpointUpdateForwarder:
    """Applies deltas and snapshots, and forwards them to the policy; a snapshot may have several parts."""

    def __init__(self, backends: BackendPool, deliver: Callable[[Event], None]) -> None:
        """`deliver` hands an event to the policy."""
        self._backends = backends
        self._deliver = deliver
        self._snapshot_addresses: dict[int, str] = {}
        """Addresses by backend id, from the parts received so far of an incomplete snapshot."""

    def apply(
        self, kind: UpdateKind, listed_endpoints: tuple[ListedEndpoint, ...], *, is_first: bool, is_last: bool
    ) -> None:
        """Apply a delta or a part of a snapshot; the last part drains backends that the snapshot omits."""
        is_snapshot = kind is not UpdateKind.DELTA
        if is_snapshot and is_first:
            self._snapshot_addresses = {}
        for listed in listed_endpoints:
            self._backends.update_endpoint(listed.endpoint.backend_id, listed.address, listed.endpoint.state)
        if is_snapshot:
            self._stage_addresses(listed_endpoints)
        if is_snapshot and is_last:
            self._backends.replace_endpoints(self._snapshot_addresses)
            self._snapshot_addresses = {}
        endpoints = tuple(listed.endpoint for listed in listed_endpoints)
        self._deliver(EndpointUpdate(kind, endpoints, is_first, is_last))

    def _stage_addresses(self, listed_endpoints: tuple[ListedEndpoint, ...]) -> None:
        for listed in listed_endpoints:
            backend_id = listed.endpoint.backend_id
            # A draining backend has no address in the pool. If a backend is listed twice, the last entry
            # counts.
            if address := self._backends.addresses.get(backend_id):
                self._snapshot_addresses[backend_id] = address
