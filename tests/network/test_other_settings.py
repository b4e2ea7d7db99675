"""The whole gateway under the settings of other deployments: names, effects, plans, limits and deadlines."""

from __future__ import annotations

import asyncio
from typing import Any

import hiredis
import pytest

from tests.support.loopback import SETTINGS, Backend, Reply, World, in_loop, request, running, until

SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
SHORT, LONG = 400.0, 9_000.0  # deadlines


def kind(name: str, effect: str, deadline: float, **more: Any) -> dict[str, Any]:
    return {"name": name, "effect": effect, "deadline": deadline, "aim": deadline / 2, **more}


def plan(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, **more}


def variant(
    classes: list[dict[str, Any]], packages: list[dict[str, Any]], caps: dict[str, Any], **rules: float
) -> dict[str, Any]:
    return {
        **SETTINGS,
        "classes": classes,
        "packages": packages,
        "caps": {**SETTINGS["caps"], **caps},
        "rules": {**SETTINGS["rules"], **rules},
    }


VARIANTS = {
    "long": variant(
        [
            kind("Hľadanie/trasy", "side_effect", LONG, importance=9.0),
            kind("view", "token", LONG, repeatWindow=6_000.0, group="all"),
            kind("wipe", "pure", LONG, importance=0.1),
        ],
        [plan("free", rate=0.5, mostAtOnce=3.0, overrunCost=2.0), plan("κλειστό")],
        {"maxAttempts": 2, "mayDuplicate": True, "retryAfter": False},
        drainGrace=2_500.0,
    ),
    "short": variant(
        [
            kind("a", "pure", SHORT),
            kind("b", "token", SHORT, repeatWindow=200.0, group="cell"),
            kind("c", "side_effect", SHORT),
        ],
        [
            plan("x", rate=3.0, mostAtOnce=3.0, neverOverRate=1e6, hardBurst=1e6, overrunCost=1.0),
            plan("y", open=50),
        ],
        {"maxAttempts": 5, "cancelling": False, "maxRetryAfter": 70.0},
        drainGrace=100.0,
        startCapacity=0.5,
    ),
    "one class": variant(
        [kind("only", "token", SHORT, repeatWindow=3_000.0, group="zone")],
        [plan("p", rate=1e-3, mostAtOnce=3.0, overrunCost=1.0), plan("q")],
        {"maxAttempts": 3, "cancelling": True, "maxRetryAfter": 5_000.0},
    ),
}  # the first plan of each has a quota, of three units at once
REPEATED = {"pure", "token"}  # all backends of the tests are of one zone and cell


def asked(settings: dict[str, Any], number: int, id: str, plan: int = 1) -> tuple[bytes, ...]:
    given, packages = settings["classes"][number], settings["packages"]
    return request(
        id.encode(),
        given["name"].encode(),
        packages[plan]["name"].encode(),
        int(given["deadline"]),
        customer=b"%016x" % plan,
        key=b"k1" if given["effect"] == "token" else None,
        verb=b"API.READ" if given["effect"] == "pure" else b"API.WRITE",
    )


async def answer(world: World, *command: bytes) -> Any:
    peer = await world.client()
    peer.send(*command)
    return await peer.receive()


CASES = [(name, number) for name, settings in VARIANTS.items() for number in range(len(settings["classes"]))]


@pytest.mark.parametrize(("name", "number"), CASES)
def test_a_break_is_repeated_only_as_the_class_allows(name: str, number: int) -> None:
    async def scenario() -> None:
        tries: list[bytes] = []

        async def script(command: list[bytes]) -> Reply:
            tries.append(command[2])
            return b"" if command[2] == b"breaks" and len(tries) == 2 else SERVED

        world = World(Backend(script), Backend(script))
        world.settings = VARIANTS[name]
        repeated = world.settings["classes"][number]["effect"] in REPEATED
        async with running(world):
            assert await answer(world, *asked(world.settings, number, "whole")) == b"value"
            reply = await answer(world, *asked(world.settings, number, "breaks"))
            assert reply == b"value" if repeated else str(reply) == "ERR failed"
            assert tries == [b"whole", b"breaks"] + [b"breaks"] * repeated

    in_loop(scenario)


@pytest.mark.parametrize(("name", "number"), [case for case in CASES if case[0] != "long"])
def test_a_backend_that_hangs_costs_no_client_its_answer(name: str, number: int) -> None:
    """One final answer before the client's time is up; what may have run and may not again is no refusal."""

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        world = World(backend)
        world.settings = VARIANTS[name]
        given = world.settings["classes"][number]
        async with running(world):
            loop = asyncio.get_running_loop()
            peer, began = await world.client(), loop.time()
            peer.send(*asked(world.settings, number, "hangs"))
            await until(lambda: backend.got)
            reply = await peer.receive()
            assert isinstance(reply, hiredis.ReplyError)
            assert loop.time() - began < given["deadline"] / 1000
            assert len(backend.got) == 1
            if given["effect"] == "side_effect":
                assert str(reply) == "ERR failed"

    in_loop(scenario)


@pytest.mark.parametrize("name", VARIANTS)
def test_a_quota_and_its_retry_after_are_those_of_the_settings(name: str) -> None:
    async def scenario() -> None:
        world = World(Backend())
        settings = world.settings = VARIANTS[name]
        async with running(world):
            replies = [str(await answer(world, *asked(settings, 0, f"q{n}", plan=0))) for n in range(12)]
            assert replies[:3] == ["b'value'"] * 3
            refused = [reply for reply in replies if "value" not in reply]
            assert refused and all(reply.startswith("BUSY") for reply in refused)
            caps = settings["caps"]
            for reply in refused:
                wait = [float(word) for word in reply.split()[1:]]
                assert bool(wait) == caps["retryAfter"] and all(0 < w <= caps["maxRetryAfter"] for w in wait)
            assert str(await answer(world, *asked(settings, 0, "free"))) == "b'value'"  # no quota

    in_loop(scenario)
