"""Conversion of the simulator's events to the policy's events.

An event is a JSON array of its name and its values; the names are in `wire_names`. The event that creates an
instance is handled by `host`, and its settings by `gateway.settings_document`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gateway.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from gateway.policy.timers import TimerToken

from . import wire_names
from .errors import WireFormatError

ENDPOINT_STATES = {
    wire_names.READY: EndpointState.READY,
    wire_names.DRAINING: EndpointState.DRAINING,
    wire_names.REMOVED: EndpointState.REMOVED,
}
UPDATE_KINDS = {
    wire_names.DELTA: UpdateKind.DELTA,
    wire_names.SNAPSHOT: UpdateKind.SNAPSHOT,
    wire_names.CACHED: UpdateKind.CACHED,
    wire_names.WATCH_FAILED: UpdateKind.WATCH_FAILED,
}
OUTCOMES = {
    wire_names.OK: Outcome.OK,
    wire_names.FAILED: Outcome.FAILED,
    wire_names.QUEUE_FULL: Outcome.QUEUE_FULL,
    wire_names.TIMED_OUT: Outcome.TIMED_OUT,
    wire_names.CONNECT_ERROR: Outcome.CONNECT_ERROR,
    wire_names.CONNECTION_RESET: Outcome.CONNECTION_RESET,
    wire_names.CANCELLED: Outcome.CANCELLED,
    wire_names.NOT_STARTED: Outcome.NOT_STARTED,
}
RETRY_FLAG = 2
"""Bit in a request's flags that is set if the client has sent the request before."""
FLAGS_INDEX = 8
"""Index of the flags in the values of a request event, which may leave them out."""


def decode_event(name: str, values: list[Any]) -> Event | None:
    """Return the policy's event for a simulator event, or None if the policy does not need it.

    Raises:
        WireFormatError: the name is unknown, or a value is not a string where one is expected.
        KeyError, IndexError, TypeError, ValueError: a value is missing or invalid.
    """
    decode = EVENT_DECODERS.get(name)
    if decode is None:
        raise WireFormatError(f"decoding an event of the simulator: unknown event {name!r}")
    return decode(values)


def _decode_endpoint(values: list[Any]) -> Endpoint:
    zone, cell, started_at, state, _weight, backend_id = values[:6]
    return Endpoint(
        backend_id=int(backend_id),
        zone=str(zone or ""),
        cell=int(cell or 0),
        started_at=float(started_at or 0),
        state=ENDPOINT_STATES[state],
    )


def _decode_endpoint_update(values: list[Any]) -> Event:
    kind, _revision, entries = values[:3]
    return EndpointUpdate(UPDATE_KINDS[kind], tuple(_decode_endpoint(entry) for entry in entries or ()))


def _decode_request(values: list[Any]) -> Event:
    request_id, request_class, plan, customer, deadline, cost, set_size, set_start = values[:FLAGS_INDEX]
    flags = values[FLAGS_INDEX] if len(values) > FLAGS_INDEX else 0
    return RequestArrived(
        request_id=_require_string(request_id),
        request_class=_require_string(request_class),
        plan=str(plan or ""),
        customer=str(customer or ""),
        deadline=float(deadline),
        cost=float(cost or 0),
        gateway_set_size=int(set_size or 1),
        gateway_set_start=int(set_start or 0),
        is_retry=bool(int(flags or 0) & RETRY_FLAG),
    )


def _decode_attempt_end(values: list[Any]) -> Event:
    request_id, _settled, latency_ms, outcome, is_finished, attempt_number, backend_id = values[:7]
    return AttemptEnded(
        request_id=_require_string(request_id),
        attempt_number=int(attempt_number),
        backend_id=int(backend_id),
        outcome=OUTCOMES[outcome],
        latency_ms=float(latency_ms or 0),
        request_finished=bool(is_finished),
    )


def _decode_response_start(values: list[Any]) -> Event:
    request_id, attempt_number, backend_id = values[:3]
    return ResponseStarted(_require_string(request_id), int(attempt_number), int(backend_id))


def _decode_disconnect(values: list[Any]) -> Event:
    return ClientDisconnected(_require_string(values[0]))


def _decode_counter_response(values: list[Any]) -> Event:
    total, _latency_ms, outcome, name = values[:4]
    return CounterResponse(_require_string(name), OUTCOMES[outcome], float(total or 0))


def _decode_timer(values: list[Any]) -> Event | None:
    token = _require_string(values[0])
    try:
        return TimerFired(TimerToken.decode(token))
    except ValueError:
        return None  # the token is not one that the policy creates


def _decode_peer_message(values: list[Any]) -> Event:
    sender, payload = values[:2]
    return PeerMessage(int(sender), bytes.fromhex(payload))


def _ignore(_: list[Any]) -> None:
    return None


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise WireFormatError(f"decoding an event of the simulator: expected a string, got {value!r}")
    return value


EVENT_DECODERS: dict[str, Callable[[list[Any]], Event | None]] = {
    wire_names.ENDPOINT_UPDATE: _decode_endpoint_update,
    wire_names.REQUEST_ARRIVED: _decode_request,
    wire_names.ATTEMPT_ENDED: _decode_attempt_end,
    wire_names.RESPONSE_STARTED: _decode_response_start,
    wire_names.CLIENT_DISCONNECTED: _decode_disconnect,
    wire_names.COUNTER_RESPONSE: _decode_counter_response,
    wire_names.TIMER_FIRED: _decode_timer,
    wire_names.PEER_MESSAGE: _decode_peer_message,
    wire_names.HEALTH_CHECKED: _ignore,
}
