"""Worker role that starts the real gateways of a run, each as the deployment file's `run` command does."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import tempfile
from pathlib import Path
from typing import Any

from .errors import RunError
from .figures import LaunchedGatewayInfo

START_TIMEOUT_S = 60.0
"""Seconds that a gateway may take until it listens."""

LISTENING_LINE = re.compile(r"serves at [\d.]+:(\d+)")
"""Matches the log line of a gateway that listens, and captures its port."""


class LaunchedGateway:
    """A gateway process; its port is read from its log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self._name = name
        self._process = process
        self._port: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._last_log_line = "(it logged nothing)"
        self._log_task = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        """Read the log until the process exits, and set the port once a line names it."""
        assert self._process.stderr is not None
        async for line in self._process.stderr:
            self._last_log_line = line.decode(errors="replace").rstrip()
            match = LISTENING_LINE.search(self._last_log_line)
            if match and not self._port.done():
                self._port.set_result(int(match[1]))
        if not self._port.done():
            message = f"gateway {self._name} exited before it listened, last log line: {self._last_log_line}"
            self._port.set_exception(RunError(message))

    async def wait_until_listening(self) -> LaunchedGatewayInfo:
        """Wait until the gateway listens.

        Raises:
            RunError: the process exited first, or does not listen within `START_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                port = await self._port
        except TimeoutError as error:
            message = (
                f"gateway {self._name} does not listen after {START_TIMEOUT_S:g} s,"
                f" last log line: {self._last_log_line}"
            )
            raise RunError(message) from error
        return {"pid": self._process.pid, "port": port}

    def check(self) -> None:
        """Check that the process still runs.

        Raises:
            RunError: the process has exited.
        """
        exit_code = self._process.returncode
        if exit_code is not None:
            raise RunError(
                f"gateway {self._name} exited with status {exit_code}, last log line: {self._last_log_line}"
            )

    def kill(self) -> None:
        """Kill the process if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()


class GatewayLauncher:
    """Starts the real gateways of a run, and kills them when the role ends."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="scale-")
        self._gateways: list[LaunchedGateway] = []

    async def start(self, checkout: str, configs: list[dict[str, Any]]) -> list[LaunchedGatewayInfo]:
        """Start a gateway of the checkout for each configuration; return their process ids and ports.

        Raises:
            RunError: a gateway exited before it listened, or does not listen within `START_TIMEOUT_S`.
        """
        return list(await asyncio.gather(*(self._start(checkout, config) for config in configs)))

    async def _start(self, checkout: str, config: dict[str, Any]) -> LaunchedGatewayInfo:
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
        gateway = LaunchedGateway(config["name"], process)
        self._gateways.append(gateway)
        return await gateway.wait_until_listening()

    async def check(self) -> None:
        """Check that all gateways still run.

        Raises:
            RunError: a gateway has exited.
        """
        for gateway in self._gateways:
            gateway.check()

    def close(self) -> None:
        """Kill all gateways and remove their configuration files."""
        for gateway in self._gateways:
            gateway.kill()
        self._folder.cleanup()
