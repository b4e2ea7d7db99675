"""Conversion of the policy's actions to the simulator's: JSON arrays of a name and its values."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from gateway.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)

from .wire_names import (
    CANCEL_ATTEMPT,
    FAIL,
    INCREMENT_COUNTER,
    REJECT,
    SET_TIMER,
    START_ATTEMPT,
    WATCH_ENDPOINTS,
)

WireAction = list[Any]


def encode_actions(actions: Iterable[Action]) -> list[WireAction]:
    """Return the actions in the simulator's format, in the same order."""
    return [ACTION_ENCODERS[type(action)](action) for action in actions]


def _encode_attempt(action: StartAttempt) -> WireAction:
    # `start_before` is left out: the simulator starts an attempt immediately, and so never too late.
    return [START_ATTEMPT, action.request_id, action.timeout_ms, action.backend_id]


def _encode_cancellation(action: CancelAttempt) -> WireAction:
    return [CANCEL_ATTEMPT, action.request_id, action.attempt_number]


def _encode_rejection(action: Reject) -> WireAction:
    return [REJECT, action.request_id, action.retry_after_ms]


def _encode_failure(action: Fail) -> WireAction:
    return [FAIL, action.request_id]


def _encode_timer(action: SetTimer) -> WireAction:
    return [SET_TIMER, action.delay_ms, action.token.encode()]


def _encode_increment(action: IncrementCounter) -> WireAction:
    return [INCREMENT_COUNTER, action.name, action.expires_in_ms, action.amount]


def _encode_watch(action: WatchEndpoints) -> WireAction:
    return [WATCH_ENDPOINTS, action.enabled]


ACTION_ENCODERS: dict[type[Action], Callable[[Any], WireAction]] = {
    StartAttempt: _encode_attempt,
    CancelAttempt: _encode_cancellation,
    Reject: _encode_rejection,
    Fail: _encode_failure,
    SetTimer: _encode_timer,
    IncrementCounter: _encode_increment,
    WatchEndpoints: _encode_watch,
}
