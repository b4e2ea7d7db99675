"""Starts and ends a gateway with the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .record import CannotRunError
from .servers import LOOPBACK

ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
READY_WITHIN_S = 15.0

CLASSES = [
    {"name": "timetable-read", "aim": 750.0, "deadline": 2500.0, "effect": "pure", "group": "all"},
    {"name": "booking", "aim": 1000.0, "deadline": 3000.0, "effect": "token", "group": "all"},
    {"name": "payment", "aim": 750.0, "deadline": 2500.0, "effect": "side_effect", "group": "all"},
]
"""The request classes of the site; `settings` adds the figures that all of them share."""

PLANS = [{"name": "partner", "rate": 17.0, "mostAtOnce": 40.0, "beyondEarns": 0.1, "worthFactor": 1.6}]

CAPS: dict[str, Any] = {
    "cancelling": True,
    "connectTimeout": 250.0,
    "keepalive": 15_000.0,
    "maxAttempts": 3,
    "maxOpen": 20_000,
    "maxRetryAfter": 1_000.0,
    "maxStreams": 32,
    "mayDuplicate": True,
    "peerMessages": True,
    "probes": True,
    "retryAfter": True,
}

RULES = {
    "answerSlack": 16.0,
    "askEvery": 10_000.0,
    "drainGrace": 500.0,
    "fall": 1_000.0,
    "fallMultiple": 4.0,
    "startCapacity": 0.18,
    "warmWithin": 14_000.0,
}


def settings(*, index: int = 0, gateways: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the settings of a gateway of the site; `changes` replace top-level keys."""
    shared = {"importance": 2.0, "lateWorth": 0.0, "repeatWindow": 3_000.0, "stream": False}
    document: dict[str, Any] = {
        "areas": ["a"],
        "az": "a",
        "caps": CAPS,
        "classes": [{**shared, **entry} for entry in CLASSES],
        "discovery": "push",
        "family": "gate",
        "familyInfo": {"mayCount": True, "countWait": 50.0, "unitsTop": 1},
        "groupSize": gateways,
        "packages": PLANS,
        "rules": RULES,
        "selfIndex": index,
    }
    return {**document, **changes}


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def _die_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One gateway process, with its configuration file and its log in a temporary folder."""

    def __init__(self, *, discovery: int, counter: int | None = None, **config: Any) -> None:
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="case-")
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
            **({} if counter is None else {"counter": f"{LOOPBACK}:{counter}"}),
            **config,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = Path(self.folder.name) / "log.txt"

    @property
    def pid(self) -> int:
        """The process that `run` became."""
        if self.process is None:
            raise CannotRunError("the gateway is not started")
        return self.process.pid

    def write_config(self) -> Path:
        """Write the configuration file."""
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(self.config))
        return path

    async def start(self) -> None:
        """Start the process, and wait until it answers PING."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "LB_NAME": str(self.config["name"]),
            "LB_LISTEN": str(self.config["listen"]),
            "LB_DISCOVERY": str(self.config["discovery"]),
            "LB_CONFIG": str(self.write_config()),
            "TMPDIR": self.folder.name,
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_die_with_parent,
            )
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                await self._await_pong()
        except TimeoutError as error:
            raise CannotRunError(f"the gateway is not ready: {self.log()}") from error

    async def _await_pong(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            except ConnectionError:
                await asyncio.sleep(0.05)
                continue
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            answer = await reader.readline()
            writer.close()
            if answer == b"+PONG\r\n":
                return

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self.process is not None and self.process.returncode is not None

    def log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text() if self.log_path.exists() else ""

    async def end(self) -> None:
        """Kill the process and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        self.folder.cleanup()
