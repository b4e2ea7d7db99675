"""Builds endpoint lists and their updates."""

from __future__ import annotations

from gateway.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED
ZONE = "a"


def create_endpoint(
    backend_id: int, state: EndpointState = READY, *, started_at: float = 0.0, cell: int = 0
) -> Endpoint:
    return Endpoint(backend_id, ZONE, cell, started_at, state)


def ready_endpoints(backend_ids: range, cells: int = 5) -> list[Endpoint]:
    """Return backends that have long been ready, spread evenly over `cells` cells."""
    return [create_endpoint(backend_id, cell=backend_id % cells) for backend_id in backend_ids]


def snapshot(*endpoints: Endpoint) -> EndpointUpdate:
    return EndpointUpdate(UpdateKind.SNAPSHOT, endpoints)


def delta(*endpoints: Endpoint) -> EndpointUpdate:
    return EndpointUpdate(UpdateKind.DELTA, endpoints)
