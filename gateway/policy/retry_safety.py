"""When and where a request may run twice, by its idempotency and the scope of its deduplication.

An attempt may have run although no response came. A request must never take effect twice, so another attempt
may only go where it is harmless:

- an idempotent request may run anywhere, any number of times;
- a request with an idempotency key may be sent again to the backends that recognise the key of the first
  attempt, until shortly before their deduplication window ends;
- an unsafe request is never sent again once it may have run.
"""

import math

from .backends import Backend
from .requests import PendingRequest
from .settings import DeduplicationScope, Idempotency

DEDUPLICATION_MARGIN_MS = 50.0
"""Minimum milliseconds from the start of a retry to the end of the deduplication window, so that the retry
reaches the backend in time."""


def is_safe_to_resend(request: PendingRequest) -> bool:
    """Return whether the client may send the request again without any risk that it takes effect twice."""
    if not request.possibly_run_attempts:
        return True
    idempotency = request.request_class.idempotency
    is_key_known_to_all = request.request_class.deduplication_scope is DeduplicationScope.ALL
    is_repeat_dropped = idempotency is Idempotency.WITH_KEY and is_key_known_to_all
    return idempotency is Idempotency.IDEMPOTENT or is_repeat_dropped


def retry_window_end(request: PendingRequest) -> float:
    """Return when a retry must start at the latest, so that backends drop it if the first attempt ran."""
    if request.request_class.idempotency is not Idempotency.WITH_KEY or not request.possibly_run_attempts:
        return math.inf
    first_attempt = request.possibly_run_attempts[0]
    return first_attempt.started_at + request.request_class.deduplication_window_ms - DEDUPLICATION_MARGIN_MS


def may_run_on(now: float, request: PendingRequest, backend: Backend) -> bool:
    """Return whether the next attempt may go to a backend, given the attempts that may have run."""
    if backend.id in request.tried_backend_ids:
        return False
    idempotency = request.request_class.idempotency
    if not request.possibly_run_attempts or idempotency is Idempotency.IDEMPOTENT:
        return True
    if idempotency is Idempotency.UNSAFE or now >= retry_window_end(request):
        return False
    scope = request.request_class.deduplication_scope
    first_backend = request.possibly_run_attempts[0].backend
    is_same_zone = first_backend.zone == backend.zone
    is_in_scope = is_same_zone and (scope is DeduplicationScope.ZONE or first_backend.cell == backend.cell)
    return scope is DeduplicationScope.ALL or is_in_scope


def must_not_run_again(request: PendingRequest) -> bool:
    """Return whether no backend may get another attempt of the request."""
    return bool(request.possibly_run_attempts) and request.request_class.idempotency is Idempotency.UNSAFE


def required_cell(request: PendingRequest) -> tuple[str, int] | None:
    """Return the zone and cell in which the next attempt must run; None if more than one cell is allowed."""
    request_class = request.request_class
    if (
        not request.possibly_run_attempts
        or request_class.idempotency is not Idempotency.WITH_KEY
        or request_class.deduplication_scope is not DeduplicationScope.CELL
    ):
        return None
    first_backend = request.possibly_run_attempts[0].backend
    return first_backend.zone, first_backend.cell
