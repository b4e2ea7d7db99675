"""A worker process of a run: `python -m scale.worker ROLE [CHECKOUT]`.

It reads calls from standard input, responds to each on standard output, and exits when its input closes, so
that no process of a run outlives the main process.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import sys
import traceback
from typing import Protocol, cast

import uvloop

from .checkout import check_import_origin, prefer_checkout
from .worker_protocol import MAX_LINE_BYTES, WorkerCall, WorkerResponse

ROLES = {
    "fakes": "scale.fakes.worker:FakeServicesWorker",
    "clients": "scale.load_generator:LoadGenerator",
    "launcher": "scale.gateway_launcher:GatewayLauncher",
    "hollow": "scale.hollow_fleet:HollowFleet",
    "measured": "scale.measured_gateway:MeasuredGateway",
}
"""Module and class of each role. `hollow` and `measured` import the gateway package."""


class Role(Protocol):
    """The role of a worker; the main process calls its public coroutine methods by name."""

    def close(self) -> None:
        """Release the resources of the role; the process exits next."""


def load_role(name: str) -> Role:
    """Import the role called `name`, and return an instance."""
    module, _, class_name = ROLES[name].partition(":")
    return cast(Role, getattr(importlib.import_module(module), class_name)())


async def execute_call(role: Role, call: WorkerCall) -> bytes:
    """Execute a call; return the encoded response, which holds the result or the error."""
    try:
        result = await getattr(role, call.method)(**call.arguments)
        return WorkerResponse(call_id=call.call_id, result=result).encode()
    except Exception as error:
        traceback.print_exc()
        return WorkerResponse(call_id=call.call_id, error=f"{type(error).__name__}: {error}").encode()


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes to a blocking file descriptor."""
    unwritten = memoryview(data)
    while unwritten:
        written = os.write(descriptor, unwritten)
        unwritten = unwritten[written:]


async def respond(role: Role, call: WorkerCall, output: int) -> None:
    """Execute a call and write its response to the file descriptor `output`."""
    write_all(output, await execute_call(role, call))


async def serve_calls(role_name: str, output: int) -> None:
    """Execute the calls on standard input concurrently until it closes; write the responses to `output`."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    role = load_role(role_name)
    tasks: set[asyncio.Task[None]] = set()
    try:
        while line := await reader.readline():
            task = loop.create_task(respond(role, WorkerCall.decode(line), output))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    finally:
        for task in tasks:
            task.cancel()
        role.close()


def main(argv: list[str]) -> int:
    """Run the role that `argv` names; a checkout may follow it."""
    role_name, *folder = argv
    output = os.dup(sys.stdout.fileno())
    os.dup2(sys.stderr.fileno(), sys.stdout.fileno())  # output of the gateway must not mix with responses
    if folder:
        prefer_checkout(folder[0])
        importlib.import_module(ROLES[role_name].partition(":")[0])
        check_import_origin(folder[0])
    uvloop.run(serve_calls(role_name, output))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
