"""Keeps real gateways: starts each just as `run` of the deploy file does, and ends them all when it ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

from .errors import RunProblem

START_S = 60.0
SERVES = re.compile(r"serves at [\d.]+:(\d+)")


class Keeper:
    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="scale-")
        self.processes: list[asyncio.subprocess.Process] = []
        self.reading: list[asyncio.Task[None]] = []
        self.logs: list[deque[str]] = []

    async def start(self, program: str, configs: list[dict[str, Any]]) -> list[dict[str, int]]:
        """Start a gateway of a checkout for each configuration; gives `pid` and `port` of each."""
        return list(await asyncio.gather(*(self._start(program, config) for config in configs)))

    async def _start(self, program: str, config: dict[str, Any]) -> dict[str, int]:
        path = Path(self.folder.name) / f"{config['name']}.json"
        path.write_text(json.dumps(config))
        environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gateway",
            cwd=program,
            env={**environment, "LB_CONFIG": str(path)},
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        log: deque[str] = deque(maxlen=1)
        self.logs.append(log)
        port: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.reading.append(asyncio.create_task(self._read(process, log, port)))
        async with asyncio.timeout(START_S):
            return {"pid": process.pid, "port": await port}

    async def _read(
        self, process: asyncio.subprocess.Process, log: deque[str], port: asyncio.Future[int]
    ) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            log.append(line.decode(errors="replace").rstrip())
            if not port.done() and (said := SERVES.search(log[-1])):
                port.set_result(int(said[1]))
        if not port.done():
            port.set_exception(RunProblem(f"a gateway ended at its start: {said_last(log)}"))

    async def check(self) -> None:
        """RunProblem where a gateway has ended, with the last line of its log."""
        for process, log in zip(self.processes, self.logs, strict=True):
            if process.returncode is not None:
                raise RunProblem(f"a gateway ended with {process.returncode}: {said_last(log)}")

    def close(self) -> None:
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        self.folder.cleanup()


def said_last(log: deque[str]) -> str:
    return log[-1] if log else "it said nothing"
