"""A process of a run: `python -m scale.child ROLE [FOLDER OF THE PROGRAM]`.

It takes calls as JSON lines on standard input, answers each on standard output, and ends when its input
does: nothing of a run outlives the process that leads it.
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

from .program import bring_in, check_brought_in

LONGEST_LINE = 256 * 1024 * 1024
ROLES = {  # the last two import the program
    "standins": "scale.standins:StandIns",
    "load": "scale.load:Load",
    "keeper": "scale.keeper:Keeper",
    "hollow": "scale.hollow:HollowGateways",
    "measured": "scale.measured:Measured",
}


class Role(Protocol):
    """What a process does: each of its methods may be called by name."""

    def close(self) -> None: ...


def make(role: str) -> Role:
    module, _, name = ROLES[role].partition(":")
    return cast(Role, getattr(importlib.import_module(module), name)())


async def answer(role: Role, call: dict[str, Any], out: int) -> None:
    try:
        given = await getattr(role, call["do"])(**call["with"])
        text = json.dumps({"id": call["id"], "gave": given})
    except Exception as error:
        traceback.print_exc()
        text = json.dumps({"id": call["id"], "error": f"{type(error).__name__}: {error}"})
    left = memoryview(text.encode() + b"\n")
    while left:
        left = left[os.write(out, left) :]


async def talk(name: str, out: int) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    role = make(name)
    calls: set[asyncio.Task[None]] = set()
    try:
        while line := await reader.readline():
            task = loop.create_task(answer(role, json.loads(line), out))
            calls.add(task)
            task.add_done_callback(calls.discard)
    finally:
        for task in calls:
            task.cancel()
        role.close()


def main(argv: list[str]) -> int:
    role, *folder = argv
    out = os.dup(1)
    os.dup2(2, 1)  # whatever is printed is no answer
    if folder:
        bring_in(folder[0])
        importlib.import_module(ROLES[role].partition(":")[0])
        check_brought_in(folder[0])
    uvloop.run(talk(role, out))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
