"""The policies that are measured: their settings, and the events they are given."""

from __future__ import annotations

from typing import Any

from gateway.network.discovery.endpoint_list import backend_id_of
from gateway.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from gateway.policy.policy import GatewayPolicy
from gateway.policy.settings import Settings
from gateway.settings_document import parse_settings
from scale.gateway_configuration import settings_document

START_MS = 1_790_000_000_000.0
"""Time at the start, in Unix milliseconds: the counter's names hold a period's number."""

DEADLINE_MS = 2_500.0
"""How long a client waits for its answer."""

SERVICE_TIME_MS = 50.0
"""How long a backend takes."""

BACKENDS_PER_CELL = 4

REQUEST_ID = "0123456789abcdef"
"""Of requests that come one after another, so that one id does."""

REQUEST_CLASS = "timetable-read"
UNLIMITED_PLAN: dict[str, Any] = {"name": "free"}

REQUEST_CLASS_ENTRY = {
    "name": REQUEST_CLASS,
    "aim": 750.0,
    "deadline": DEADLINE_MS,
    "effect": "pure",
    "importance": 1.0,
}
CAPABILITIES = {"maxAttempts": 3, "cancelling": True, "retryAfter": True, "maxRetryAfter": 1_000.0}
SAFETY_RULES = {"drainGrace": 500.0, "startCapacity": 0.18, "warmWithin": 14_000.0, "fallMultiple": 4.0}
COUNTER_TIMEOUT_MS = 50.0


def metered_plan(rate: float, burst: float) -> dict[str, Any]:
    """Return a plan of so many units a second and so many at once, in the settings' form."""
    return {"name": "plan", "rate": rate, "mostAtOnce": burst, "overrunCost": 1.0}


def make_settings(
    plan: dict[str, Any] = UNLIMITED_PLAN,
    *,
    index: int = 0,
    gateways: int = 1,
    counter_available: bool = False,
) -> Settings:
    """Return the settings of gateway `index` of so many, with one plan."""
    document = settings_document(
        index,
        gateways,
        az="a",
        classes=[REQUEST_CLASS_ENTRY],
        packages=[plan],
        caps=CAPABILITIES,
        rules=SAFETY_RULES,
        familyInfo={"mayCount": counter_available, "countWait": COUNTER_TIMEOUT_MS},
    )
    return parse_settings(document)


def make_policy(settings: Settings, *, backends: int, seed: int = 1) -> GatewayPolicy:
    """Return a policy that has been given a list of so many backends."""
    policy = GatewayPolicy(settings, seed)
    policy.handle(START_MS, snapshot(make_endpoints(backends)))
    return policy


def make_endpoints(count: int, started_at: float = 0.0) -> tuple[Endpoint, ...]:
    """Return so many ready backends, which started at a time in Unix milliseconds."""
    ready = EndpointState.READY
    return tuple(
        Endpoint(backend_id_of(f"s-{number:08x}"), "a", number // BACKENDS_PER_CELL, started_at, ready)
        for number in range(count)
    )


def snapshot(endpoints: tuple[Endpoint, ...]) -> EndpointUpdate:
    """Return the event of a whole list."""
    return EndpointUpdate(UpdateKind.SNAPSHOT, endpoints)


def arrival(  # noqa: PLR0913 - one argument for each field that differs
    now: float,
    *,
    request_id: str = REQUEST_ID,
    request_class: str = REQUEST_CLASS,
    plan: str = "free",
    customer: str = "c",
    timeout_ms: float = DEADLINE_MS,
    set_size: int = 1,
    set_start: int = 0,
) -> RequestArrived:
    """Return the event of a request that costs one unit."""
    return RequestArrived(
        request_id, request_class, plan, customer, now + timeout_ms, 1.0, set_size, set_start
    )


def success(
    backend_id: int, *, request_id: str = REQUEST_ID, duration_ms: float = SERVICE_TIME_MS
) -> AttemptEnded:
    """Return the event of a first attempt that was served."""
    return AttemptEnded(request_id, 0, backend_id, Outcome.OK, duration_ms, True)
