"""Scenario `scores`: the memory of one backend's outlier scores if each route has its own request class."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from gateway.policy.actions import StartAttempt
from gateway.policy.policy import GatewayPolicy
from gateway.settings_document import parse_settings

from .measurement import retained_bytes
from .policies import START_MS, arrival_event, make_policy, make_settings, success_event
from .tables import print_header, print_row

CLASS_COUNTS = (10, 1_000, 75_000)
SERVICE_TIME_MS = 5.0


def run() -> None:
    """Print a table with a row for each number of request classes."""
    print("Outlier scores of one backend, by the number of request classes that it has served")
    print_header(
        "request classes",
        "bytes",
        "bytes per score",
        "bytes per class in memory",
        "bytes per class in the configuration",
    )
    for count in CLASS_COUNTS:
        document: dict[str, Any] = {"classes": [class_entry(number) for number in range(count)]}
        policy_bytes = retained_bytes(partial(policy_after_requests, count))
        configured_policy_bytes = retained_bytes(partial(configured_policy, document))
        print_row(
            count,
            policy_bytes,
            policy_bytes // count,
            configured_policy_bytes // count,
            len(json.dumps(document)) // count,
        )


def policy_after_requests(class_count: int) -> GatewayPolicy:
    """Return a policy whose one backend has served a request of each class."""
    policy = make_policy(make_settings(), backends=1)
    for number in range(class_count):
        now = START_MS + number
        for action in policy.handle(now, arrival_event(now, request_class=f"route-{number}")):
            if isinstance(action, StartAttempt):
                ended = success_event(action.backend_id, latency_ms=SERVICE_TIME_MS)
                policy.handle(now + 0.5, ended)
    return policy


def configured_policy(document: dict[str, Any]) -> GatewayPolicy:
    """Return a policy with the settings document `document`."""
    return GatewayPolicy(parse_settings(document), 1)


def class_entry(number: int) -> dict[str, Any]:
    """Return the settings-document entry of request class `number`."""
    return {
        "aim": 750.0,
        "deadline": 2500.0,
        "effect": "pure",
        "group": "all",
        "importance": 2.0,
        "lateWorth": 0.2,
        "name": f"route-{number}",
        "repeatWindow": 5000.0,
        "stream": False,
    }
