"""Starts real gateways, each just as `run` of the deploy file does, and ends them all when it ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .errors import RunError

START_TIMEOUT_S = 60.0
"""How long a gateway may take until it listens."""

LISTENING = re.compile(r"serves at [\d.]+:(\d+)")
"""The log line of a gateway that listens, with its port."""


@dataclass
class LaunchedGateway:
    """A gateway process and the last line of its log."""

    process: asyncio.subprocess.Process
    port: asyncio.Future[int]
    last_log_line: str = "it said nothing"

    async def follow_log(self) -> None:
        """Read the log until the process exits, and learn the port from it."""
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.last_log_line = line.decode(errors="replace").rstrip()
            if not self.port.done() and (match := LISTENING.search(self.last_log_line)):
                self.port.set_result(int(match[1]))
        if not self.port.done():
            self.port.set_exception(RunError(f"a gateway ended at its start: {self.last_log_line}"))


class GatewayLauncher:
    """The worker role that owns the real gateways of a run."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="scale-")
        self._gateways: list[LaunchedGateway] = []
        self._log_tasks: list[asyncio.Task[None]] = []

    async def start(self, checkout: str, configs: list[dict[str, Any]]) -> list[dict[str, int]]:
        """Start a gateway of a checkout for each configuration; return `pid` and `port` of each.

        Raises:
            RunError: a gateway exited before it listened.
        """
        return list(await asyncio.gather(*(self._start(checkout, config) for config in configs)))

    async def _start(self, checkout: str, config: dict[str, Any]) -> dict[str, int]:
        path = Path(self._folder.name) / f"{config['name']}.json"
        path.write_text(json.dumps(config))
        environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gateway",
            cwd=checkout,
            env={**environment, "LB_CONFIG": str(path)},
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        gateway = LaunchedGateway(process, asyncio.get_running_loop().create_future())
        self._gateways.append(gateway)
        self._log_tasks.append(asyncio.create_task(gateway.follow_log()))
        async with asyncio.timeout(START_TIMEOUT_S):
            return {"pid": process.pid, "port": await gateway.port}

    async def check(self) -> None:
        """Check that all gateways still run.

        Raises:
            RunError: one has exited; the message holds the last line of its log.
        """
        for gateway in self._gateways:
            if (code := gateway.process.returncode) is not None:
                raise RunError(f"a gateway ended with {code}: {gateway.last_log_line}")

    def close(self) -> None:
        """Kill all gateways."""
        for gateway in self._gateways:
            with contextlib.suppress(ProcessLookupError):
                gateway.process.kill()
        self._folder.cleanup()
