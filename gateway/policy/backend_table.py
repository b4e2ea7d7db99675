"""The backends that this gateway uses, and others that it has used, with their scores."""

import random

from .backends import Backend
from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from .settings import DeduplicationScope, Idempotency, Settings
from .subsetting import EndpointSubset

MAX_KNOWN_OUTSIDE = 512
"""Backends outside the subset whose scores are kept."""


class BackendTable:
    """The subset that this gateway uses, and the scores of backends that it has used."""

    def __init__(self, settings: Settings) -> None:
        uses_cells = any(
            c.idempotency is Idempotency.WITH_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in settings.request_classes
        )
        self.known: dict[int, Backend] = {}  # the subset, and others that got attempts
        self.endpoints = EndpointSubset(settings.gateway_index, settings.gateway_count, self._use, uses_cells)

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list."""
        self.endpoints.apply(update)
        for entry in update.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.known.pop(entry.backend_id, None)
            elif backend := self.known.get(entry.backend_id):
                backend.update(entry)
        if update.kind is not UpdateKind.DELTA and update.is_last:
            self.known = {i: b for i, b in self.known.items() if i in self.endpoints.records}

    def remember(self, backend: Backend) -> None:
        """Keep the scores of a backend that is used, also of one outside the subset."""
        self.known.setdefault(backend.id, backend)

    def sample_outside(self, rng: random.Random, cell: tuple[str, int] | None) -> list[Backend]:
        """Ready backends for a request that none of the subset may serve; of one cell if it is given."""
        return [self.known.get(e.backend_id) or Backend(e) for e in self.endpoints.sample_outside(rng, cell)]

    def _use(self, entry: Endpoint) -> Backend:
        backend = self.known.get(entry.backend_id)
        if backend is None:
            if len(self.known) > len(self.endpoints.backends) + MAX_KNOWN_OUTSIDE:
                in_subset = set(self.endpoints.backend_ids)
                self.known = {i: b for i, b in self.known.items() if b.in_flight or i in in_subset}
            backend = self.known[entry.backend_id] = Backend(entry)
        return backend
