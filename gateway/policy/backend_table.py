"""The backends that a gateway uses or has used, with their scores."""

import random

from .backends import Backend
from .events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from .settings import DeduplicationScope, Idempotency, Settings
from .subsetting import EndpointSubset

MAX_KNOWN_OUTSIDE_SUBSET = 512
"""Maximum number of backends outside the subset whose scores are kept."""


class BackendTable:
    """Keeps the subset that a gateway uses, and the scores of the backends that it has used."""

    def __init__(self, settings: Settings) -> None:
        needs_cell_index = any(
            c.idempotency is Idempotency.WITH_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in settings.request_classes
        )
        self.known: dict[int, Backend] = {}  # by id: the subset, and others that got attempts
        self.endpoint_subset = EndpointSubset(
            settings.gateway_index, settings.gateway_count, self._find_or_create, needs_cell_index
        )

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list."""
        self.endpoint_subset.apply(update)
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.known.pop(endpoint.backend_id, None)
            elif backend := self.known.get(endpoint.backend_id):
                backend.update(endpoint)
        if update.kind is not UpdateKind.DELTA and update.is_last:
            self.known = {i: b for i, b in self.known.items() if i in self.endpoint_subset.records}

    def remember(self, backend: Backend) -> None:
        """Keep a backend that gets an attempt, with its scores, even if it is outside the subset."""
        self.known.setdefault(backend.id, backend)

    def sample_ready(self, rng: random.Random, cell: tuple[str, int] | None) -> list[Backend]:
        """Return the backends that `EndpointSubset.sample_ready` samples, with the scores of known ones."""
        return [
            self.known.get(e.backend_id) or Backend(e) for e in self.endpoint_subset.sample_ready(rng, cell)
        ]

    def _find_or_create(self, endpoint: Endpoint) -> Backend:
        backend = self.known.get(endpoint.backend_id)
        if backend is None:
            # Of a rebuilt subset, `backend_ids` has all ids before the first of its backends is created.
            if len(self.known) > len(self.endpoint_subset.backend_ids) + MAX_KNOWN_OUTSIDE_SUBSET:
                self._forget_outside_subset()
            backend = self.known[endpoint.backend_id] = Backend(endpoint)
        return backend

    def _forget_outside_subset(self) -> None:
        """Drop the backends outside the subset that have no attempt in flight."""
        in_subset = set(self.endpoint_subset.backend_ids)
        self.known = {i: b for i, b in self.known.items() if b.in_flight or i in in_subset}
