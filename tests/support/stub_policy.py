"""A scripted stand-in for the policy."""

from __future__ import annotations

from gateway.policy.actions import Action
from gateway.policy.events import Event


class StubPolicy:
    """Records its events; returns the actions, or raises the error, that a test set for the event's type."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.actions_by_event: dict[type, list[Action] | Exception] = {}

    def handle(self, now: float, event: Event) -> list[Action]:  # noqa: ARG002 - the signature of the policy
        self.events.append(event)
        scripted = self.actions_by_event.get(type(event), [])
        if isinstance(scripted, Exception):
            raise scripted
        return scripted

    def events_of(self, event_type: type) -> list[Event]:
        return [event for event in self.events if type(event) is event_type]
