"""The policies of the gateway instances that the simulator creates and removes."""

from __future__ import annotations

import json
import math
from typing import Any, TypedDict

from gateway.policy.policy import GatewayPolicy
from gateway.settings_document import parse_settings

from .decoding import decode_event
from .encoding import WireAction, encode_actions
from .errors import WireFormatError
from .wire_names import (
    ACTIONS,
    CREATE_INSTANCE,
    EVENTS,
    GROUPS,
    INSTANCE_ID,
    REMOVE_INSTANCE,
    TIME_MS,
)


class EventGroup(TypedDict):
    """The events of one instance in a batch; each event is a list of its name and its values."""

    gatewayId: int
    arrivals: list[list[Any]]


class Batch(TypedDict):
    """The events at one simulated time, `moment`, which is in milliseconds."""

    moment: float
    groups: list[EventGroup]


class ActionGroup(TypedDict):
    """The actions of one instance in the reply to a batch."""

    gatewayId: int
    out: list[WireAction]


# Created once: with non-default separators, `json.dumps` would create an encoder on each call.
_encode_json = json.JSONEncoder(separators=(",", ":")).encode


INVALID_BATCH_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions that a batch causes which does not follow the protocol."""


def _parse_time(value: object) -> float:
    """Return a batch's time in milliseconds.

    Raises:
        ValueError, TypeError, OverflowError: the value is not a finite number.
    """
    if not isinstance(value, int | float):
        raise TypeError(f"expected a time in milliseconds, got {value!r:.40}")
    if not math.isfinite(value):
        raise ValueError(f"expected a finite time in milliseconds, got {value}")
    return float(value)


class InstanceHost:
    """Keeps the policy of each instance from its creation to its exit, and passes events to it."""

    def __init__(self) -> None:
        self._policies: dict[int, GatewayPolicy] = {}

    def handle_batch(self, line: str) -> str:
        """Handle one batch and return the reply, with the actions of each instance that has any.

        Raises:
            WireFormatError: the batch does not follow the protocol.
        """
        groups: list[ActionGroup] = []
        try:
            batch: Batch = json.loads(line)
            now_ms = _parse_time(batch[TIME_MS])
            for group in batch[GROUPS]:
                actions = self._handle_group(now_ms, group)
                if actions:
                    groups.append({INSTANCE_ID: group[INSTANCE_ID], ACTIONS: actions})
        except INVALID_BATCH_ERRORS as error:
            raise WireFormatError(f"handling a batch: {type(error).__name__}: {error}") from error
        return _encode_json({GROUPS: groups})

    def _handle_group(self, now_ms: float, group: EventGroup) -> list[WireAction]:
        instance_id = int(group[INSTANCE_ID])
        policy = self._policies.get(instance_id)
        actions: list[WireAction] = []
        for name, *values in group[EVENTS]:
            if name == CREATE_INSTANCE:
                seed, settings = values[:2]
                policy = GatewayPolicy(parse_settings(settings), int(seed))
                self._policies[instance_id] = policy
                continue
            if policy is None:
                raise WireFormatError(f"handling event {name!r}: there is no instance {instance_id}")
            if name == REMOVE_INSTANCE:
                del self._policies[instance_id]
                policy = None
                actions.clear()  # the instance no longer exists to carry them out
                continue
            event = decode_event(name, values)
            if event is not None:
                actions += encode_actions(policy.handle(now_ms, event))
        return actions
