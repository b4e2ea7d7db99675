"""The policies that the scenarios measure, their settings, and the events that they handle."""

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
"""Start of the virtual time, in Unix milliseconds.

It is a realistic date, because the names of the counter's totals contain the number of a period.
"""

DEADLINE_MS = 2_500.0
"""Milliseconds that a client waits for the response."""

SERVICE_TIME_MS = 50.0
"""Milliseconds that a backend takes to serve a request."""

BACKENDS_PER_CELL = 4
"""Number of backends in a cell, which is one failure domain."""

REQUEST_ID = "0123456789abcdef"
"""Id that requests can share if each of them ends before the next arrives."""

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
    """Return the settings-document entry of a plan; `rate` is in units per second, `burst` in units."""
    return {"name": "plan", "rate": rate, "mostAtOnce": burst, "overrunCost": 1.0}


def make_settings(
    plan: dict[str, Any] = UNLIMITED_PLAN,
    *,
    index: int = 0,
    gateways: int = 1,
    counter_available: bool = False,
) -> Settings:
    """Return the settings of the gateway at `index` among `gateways`, with `plan` as the only plan."""
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
    """Return a policy that has applied a list of `backends` ready backends."""
    policy = GatewayPolicy(settings, seed)
    policy.handle(START_MS, snapshot_event(make_endpoints(backends)))
    return policy


def make_endpoints(count: int, started_at: float = 0.0) -> tuple[Endpoint, ...]:
    """Return `count` ready backends; `started_at` is in Unix milliseconds."""
    ready = EndpointState.READY
    return tuple(
        Endpoint(
            backend_id=backend_id_of(f"s-{number:08x}"),
            zone="a",
            cell=number // BACKENDS_PER_CELL,
            started_at=started_at,
            state=ready,
        )
        for number in range(count)
    )


def snapshot_event(endpoints: tuple[Endpoint, ...]) -> EndpointUpdate:
    """Return the event that delivers a complete endpoint list."""
    return EndpointUpdate(UpdateKind.SNAPSHOT, endpoints)


def arrival_event(  # noqa: PLR0913 - one argument for each field that varies
    now: float,
    *,
    request_id: str = REQUEST_ID,
    request_class: str = REQUEST_CLASS,
    plan: str = "free",
    customer: str = "c",
    timeout_ms: float = DEADLINE_MS,
    gateway_set_size: int = 1,
    gateway_set_start: int = 0,
) -> RequestArrived:
    """Return the arrival of a request that costs one unit."""
    return RequestArrived(
        request_id=request_id,
        request_class=request_class,
        plan=plan,
        customer=customer,
        deadline=now + timeout_ms,
        cost=1.0,
        gateway_set_size=gateway_set_size,
        gateway_set_start=gateway_set_start,
    )


def success_event(
    backend_id: int, *, request_id: str = REQUEST_ID, latency_ms: float = SERVICE_TIME_MS
) -> AttemptEnded:
    """Return the successful end of a request's first attempt."""
    return AttemptEnded(
        request_id=request_id,
        attempt_number=0,
        backend_id=backend_id,
        outcome=Outcome.OK,
        latency_ms=latency_ms,
        request_finished=True,
    )
