"""Hosts the policies of the gateway instances that the simulator creates."""

from __future__ import annotations

import json
from typing import Any, TypedDict

from gateway.policy.policy import GatewayPolicy
from gateway.settings_document import parse_settings

from .decoding import decode_event
from .encoding import WireAction, encode_actions
from .errors import WireFormatError


class EventGroup(TypedDict):
    """The events of one instance in a batch; an event is its name and its values."""

    gatewayId: int
    arrivals: list[list[Any]]


class Batch(TypedDict):
    """The events of one moment, in milliseconds of simulated time."""

    moment: float
    groups: list[EventGroup]


class ActionGroup(TypedDict):
    """The actions of one instance in a reply."""

    gatewayId: int
    out: list[WireAction]


# Built once: `json.dumps` builds an encoder in each call that asks for other separators than its own.
_encode_json = json.JSONEncoder(separators=(",", ":")).encode


class InstanceHost:
    """Holds the policy of each instance that was created and has not exited."""

    def __init__(self) -> None:
        self._policies: dict[int, GatewayPolicy] = {}

    def handle_batch(self, line: str) -> str:
        """The reply to one batch: the actions of each instance that has any.

        Raises WireFormatError if the batch is not of the protocol's form.
        """
        groups: list[ActionGroup] = []
        try:
            batch: Batch = json.loads(line)
            now = float(batch["moment"])
            for group in batch["groups"]:
                actions = self._handle_group(now, group)
                if actions:
                    groups.append({"gatewayId": group["gatewayId"], "out": actions})
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireFormatError(f"{type(error).__name__}: {error}") from error
        return _encode_json({"groups": groups})

    def _handle_group(self, now: float, group: EventGroup) -> list[WireAction]:
        instance_id = int(group["gatewayId"])
        policy = self._policies.get(instance_id)
        actions: list[WireAction] = []
        for name, *values in group["arrivals"]:
            if name == "create":
                seed, settings = values[:2]
                policy = GatewayPolicy(parse_settings(settings), int(seed))
                self._policies[instance_id] = policy
                continue
            if policy is None:
                raise WireFormatError(f"event {name!r} for unknown instance {instance_id}")
            if name == "exit":
                del self._policies[instance_id]
                policy = None
                actions.clear()  # nothing is left that could carry them out
                continue
            event = decode_event(name, values)
            if event is not None:
                actions += encode_actions(policy.handle(now, event))
        return actions
