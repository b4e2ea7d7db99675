"""A worker process of a run: `python -m scale.worker ROLE [FOLDER OF THE PROGRAM]`.

It reads calls as JSON lines from standard input, answers each on standard output, and exits when its input
closes: nothing of a run outlives the process that leads it.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import sys
import traceback
from typing import Any, Protocol, cast

import uvloop

from .checkout import check_import_origin, prefer_checkout

MAX_LINE_BYTES = 256 * 1024 * 1024
"""Longest call or answer, in bytes: a fleet's figures for a thousand changes come in one line."""

ROLES = {
    "fakes": "scale.fakes.worker:FakeServicesWorker",
    "load": "scale.load_generator:LoadGenerator",
    "launcher": "scale.gateway_launcher:GatewayLauncher",
    "hollow": "scale.hollow_fleet:HollowFleet",
    "measured": "scale.measured_gateway:MeasuredGateway",
}
"""Module and class of each role. `hollow` and `measured` import the program."""


class Role(Protocol):
    """What a worker does: each of its public coroutine methods may be called by name."""

    def close(self) -> None:
        """Release what the role holds; the process exits next."""


def load_role(name: str) -> Role:
    """Import and create the role of that name."""
    module, _, class_name = ROLES[name].partition(":")
    return cast(Role, getattr(importlib.import_module(module), class_name)())


async def answer_call(role: Role, call: dict[str, Any], output: int) -> None:
    """Carry out one call and write its result, or its error, to the file descriptor `output`."""
    try:
        result = await getattr(role, call["method"])(**call["arguments"])
        text = json.dumps({"id": call["id"], "result": result})
    except Exception as error:
        traceback.print_exc()
        text = json.dumps({"id": call["id"], "error": f"{type(error).__name__}: {error}"})
    unwritten = memoryview(text.encode() + b"\n")
    while unwritten:
        unwritten = unwritten[os.write(output, unwritten) :]


async def serve_calls(role_name: str, output: int) -> None:
    """Answer calls, concurrently, until standard input closes."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    role = load_role(role_name)
    tasks: set[asyncio.Task[None]] = set()
    try:
        while line := await reader.readline():
            task = loop.create_task(answer_call(role, json.loads(line), output))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    finally:
        for task in tasks:
            task.cancel()
        role.close()


def main(argv: list[str]) -> int:
    """Run the role that `argv` names, on the checkout that may follow it."""
    role_name, *folder = argv
    output = os.dup(1)
    os.dup2(2, 1)  # what the program prints must not be taken for an answer
    if folder:
        prefer_checkout(folder[0])
        importlib.import_module(ROLES[role_name].partition(":")[0])
        check_import_origin(folder[0])
    uvloop.run(serve_calls(role_name, output))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
