"""A gateway with various deployments' settings: names, idempotency, plans, limits and deadlines."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis
import pytest

from tests.support.event_loop import run_in_loop, wait_until
from tests.support.fake_services import FakeBackend, ScriptedReply
from tests.support.gateway_harness import SETTINGS, GatewayHarness, running_gateway
from tests.support.request_commands import request_command

VALUE_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
SHORT_DEADLINE_MS = 400.0
LONG_DEADLINE_MS = 9_000.0


def request_class(name: str, effect: str, deadline_ms: float, **others: Any) -> dict[str, Any]:
    return {"name": name, "effect": effect, "deadline": deadline_ms, "aim": deadline_ms / 2, **others}


def plan(name: str, **limits: Any) -> dict[str, Any]:
    return {"name": name, **limits}


def deployment(
    classes: list[dict[str, Any]],
    plans: list[dict[str, Any]],
    capabilities: dict[str, Any],
    **rules: float,
) -> dict[str, Any]:
    """Return settings in the platform's format; keys not given here have their values from `SETTINGS`."""
    return {
        **SETTINGS,
        "classes": classes,
        "packages": plans,
        "caps": {**SETTINGS["caps"], **capabilities},
        "rules": {**SETTINGS["rules"], **rules},
    }


QUOTA_UNITS = 3
"""Burst of the first plan of each deployment, in units; the second plan has no quota."""

DEPLOYMENTS = {
    "long": deployment(
        [
            request_class("Hľadanie/trasy", "side_effect", LONG_DEADLINE_MS, importance=9.0),
            request_class("view", "token", LONG_DEADLINE_MS, repeatWindow=6_000.0, group="all"),
            request_class("wipe", "pure", LONG_DEADLINE_MS, importance=0.1),
        ],
        [plan("free", rate=0.5, mostAtOnce=3.0, overrunCost=2.0), plan("κλειστό")],
        {"maxAttempts": 2, "mayDuplicate": True, "retryAfter": False},
        drainGrace=2_500.0,
    ),
    "short": deployment(
        [
            request_class("a", "pure", SHORT_DEADLINE_MS),
            request_class("b", "token", SHORT_DEADLINE_MS, repeatWindow=200.0, group="cell"),
            request_class("c", "side_effect", SHORT_DEADLINE_MS),
        ],
        [
            plan("x", rate=3.0, mostAtOnce=3.0, neverOverRate=1e6, hardBurst=1e6, overrunCost=1.0),
            plan("y", open=50),
        ],
        {"maxAttempts": 5, "cancelling": False, "maxRetryAfter": 70.0},
        drainGrace=100.0,
        startCapacity=0.5,
    ),
    "one class": deployment(
        [request_class("only", "token", SHORT_DEADLINE_MS, repeatWindow=3_000.0, group="zone")],
        [plan("p", rate=1e-3, mostAtOnce=3.0, overrunCost=1.0), plan("q")],
        {"maxAttempts": 3, "cancelling": True, "maxRetryAfter": 5_000.0},
    ),
}

RETRIED_EFFECTS = {"pure", "token"}
"""Values of the key `effect` of the request classes whose requests are retried.

Requests with an idempotency key are among them because all backends here are in one zone and cell: whatever
the deduplication scope, each backend recognises the others' keys.
"""

CASES = [
    (deployment_name, class_index)
    for deployment_name, settings in DEPLOYMENTS.items()
    for class_index in range(len(settings["classes"]))
]


def command_for(
    settings: dict[str, Any], class_index: int, request_id: str, plan_index: int = 1
) -> tuple[bytes, ...]:
    """Return the command that a client sends for a request of this class and plan."""
    given_class = settings["classes"][class_index]
    given_plan = settings["packages"][plan_index]
    return request_command(
        request_id.encode(),
        request_class=given_class["name"].encode(),
        plan=given_plan["name"].encode(),
        remaining_ms=int(given_class["deadline"]),
        customer=b"%016x" % plan_index,
        idempotency_key=b"k1" if given_class["effect"] == "token" else None,
        command=b"API.READ" if given_class["effect"] == "pure" else b"API.WRITE",
    )


async def reply_to(harness: GatewayHarness, *command: bytes) -> Any:
    """Send a command from a new client and return the reply."""
    peer = await harness.client()
    peer.send(*command)
    return await peer.receive()


@pytest.mark.parametrize(("deployment_name", "class_index"), CASES)
def test_broken_attempt_is_retried_only_as_the_class_allows(deployment_name: str, class_index: int) -> None:
    settings = DEPLOYMENTS[deployment_name]
    is_retried = settings["classes"][class_index]["effect"] in RETRIED_EFFECTS

    async def scenario() -> None:
        attempts: list[bytes] = []

        async def break_second_attempt(command: list[bytes]) -> ScriptedReply:
            attempts.append(command[2])
            return b"" if command[2] == b"breaks" and len(attempts) == 2 else VALUE_REPLY

        harness = GatewayHarness(FakeBackend(break_second_attempt), FakeBackend(break_second_attempt))
        harness.settings = settings
        async with running_gateway(harness):
            complete = await reply_to(harness, *command_for(settings, class_index, "complete"))
            broken = await reply_to(harness, *command_for(settings, class_index, "breaks"))

        assert complete == b"value"
        if is_retried:
            assert broken == b"value"
            assert attempts == [b"complete", b"breaks", b"breaks"]
        else:
            assert str(broken) == "ERR failed"
            assert attempts == [b"complete", b"breaks"]

    run_in_loop(scenario)


@pytest.mark.parametrize(("deployment_name", "class_index"), [case for case in CASES if case[0] != "long"])
def test_backend_that_hangs_costs_no_client_its_reply(deployment_name: str, class_index: int) -> None:
    """The client gets one final reply before the deadline.

    A non-idempotent request that may have run gets a failure, not a rejection.
    """
    settings = DEPLOYMENTS[deployment_name]
    given_class = settings["classes"][class_index]

    async def never_reply(_command: list[bytes]) -> ScriptedReply:
        return None

    async def scenario() -> None:
        backend = FakeBackend(never_reply)
        harness = GatewayHarness(backend)
        harness.settings = settings
        async with running_gateway(harness):
            loop = asyncio.get_running_loop()
            peer = await harness.client()
            sent_at = loop.time()

            peer.send(*command_for(settings, class_index, "hangs"))
            await wait_until(lambda: backend.received)
            reply = await peer.receive()

            assert isinstance(reply, hiredis.ReplyError)
            assert loop.time() - sent_at < given_class["deadline"] / 1000
            assert len(backend.received) == 1
            if given_class["effect"] == "side_effect":
                assert str(reply) == "ERR failed"

    run_in_loop(scenario)


@pytest.mark.parametrize("deployment_name", DEPLOYMENTS)
def test_quota_and_retry_after_are_those_of_the_settings(deployment_name: str) -> None:
    settings = DEPLOYMENTS[deployment_name]
    capabilities = settings["caps"]

    async def scenario() -> None:
        harness = GatewayHarness(FakeBackend())
        harness.settings = settings
        async with running_gateway(harness):
            replies = [
                await reply_to(harness, *command_for(settings, 0, f"q{number}", plan_index=0))
                for number in range(4 * QUOTA_UNITS)
            ]
            without_quota = await reply_to(harness, *command_for(settings, 0, "free"))

        rejections = [str(reply) for reply in replies if reply != b"value"]
        assert replies[:QUOTA_UNITS] == [b"value"] * QUOTA_UNITS
        assert rejections
        assert all(rejection.startswith("BUSY") for rejection in rejections)
        for rejection in rejections:
            retry_after_ms = [float(field) for field in rejection.split()[1:]]
            assert bool(retry_after_ms) == capabilities["retryAfter"]
            assert all(0 < wait_ms <= capabilities["maxRetryAfter"] for wait_ms in retry_after_ms)
        assert without_quota == b"value"

    run_in_loop(scenario)
