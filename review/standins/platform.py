"""The platform: starts and ends gateways with the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import IO, Any

from .record import Record
from .services import LOCAL, Counter, Discovery

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0

CLASSES: list[dict[str, Any]] = [
    {
        "name": "timetable-read",
        "effect": "pure",
        "group": "all",
        "aim": 750.0,
        "deadline": 2500.0,
        "importance": 2.0,
        "lateWorth": 0.2,
        "repeatWindow": 5000.0,
        "stream": False,
    },
    {
        "name": "booking",
        "effect": "token",
        "group": "all",
        "aim": 1000.0,
        "deadline": 3000.0,
        "importance": 2.0,
        "lateWorth": 0.0,
        "repeatWindow": 3000.0,
        "stream": False,
    },
    {
        "name": "payment",
        "effect": "side_effect",
        "group": "all",
        "aim": 750.0,
        "deadline": 2500.0,
        "importance": 3.0,
        "lateWorth": 0.0,
        "repeatWindow": 5000.0,
        "stream": False,
    },
]
"""The request classes of the site, as in the example of the interface page."""

PLANS: list[dict[str, Any]] = [
    {"name": "zaklad", "rate": 0.61, "mostAtOnce": 3.0, "overrunCost": 1.2, "worthFactor": 0.88},
    {"name": "firma", "rate": 4.9, "mostAtOnce": 8.0, "overrunCost": 0.8, "worthFactor": 1.2},
    {"name": "partner", "rate": 17.0, "mostAtOnce": 40.0, "beyondEarns": 0.1, "worthFactor": 1.6},
]

SETTINGS: dict[str, Any] = {
    "areas": ["ba-ruzinov"],
    "az": "ba-ruzinov",
    "caps": {
        "cancelling": True,
        "connectTimeout": 250.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 500000,
        "keepalive": 15000.0,
        "maxAttempts": 3,
        "maxOpen": 20000,
        "maxRetryAfter": 1000.0,
        "maxStreams": 32,
        "mayDuplicate": True,
        "peerMessages": False,
        "probes": False,
        "retryAfter": True,
    },
    "classes": CLASSES,
    "clientHabits": {"marksRetry": True},
    "discovery": "push",
    "family": "gate",
    "familyInfo": {
        "costAfter": False,
        "countFee": 0.005,
        "countWait": 50.0,
        "mayCount": True,
        "metering": 0.0,
        "peerIntake": 60.0,
        "unitsTop": 1,
    },
    "groupSize": 1,
    "kinds": ["new-2c", "old-2c"],
    "layers": ["lesson-backend"],
    "packages": PLANS,
    "rules": {
        "answerSlack": 16.0,
        "askEvery": 10000.0,
        "drainGrace": 500.0,
        "fall": 1000.0,
        "fallMultiple": 4.0,
        "startCapacity": 0.18,
        "warmWithin": 14000.0,
    },
    "selfIndex": 0,
    "telemetry": {"how": "none", "names": []},
    "tier": 0,
    "weightSource": "none",
}
"""The settings of a small deployment: those of the interface page's example, with one gateway."""


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings with some top-level keys replaced."""
    return copy.deepcopy(SETTINGS) | changes


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return int(probe.getsockname()[1])


def build_environment() -> dict[str, str]:
    """Return the environment of a gateway, without variables of the Python that runs the case."""
    return {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}


class Gateway:
    """One gateway process, its configuration file and its log."""

    def __init__(self, name: str, folder: Path, discovery: Discovery, counter: Counter | None) -> None:
        self.name = name
        self.folder = folder
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{LOCAL}:{self.port}",
            "discovery": f"{LOCAL}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": json.loads(discovery.message(list(discovery.hosts.values()), whole=True)),
            "settings": settings(),
        }
        if counter is not None:
            self.config["counter"] = f"{LOCAL}:{counter.port}"
        self.process: asyncio.subprocess.Process | None = None
        self._log: IO[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The file that holds what the gateway writes."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start the process and wait until it answers PING.

        Raises:
            TimeoutError: it is not ready in time.
        """
        config_path = self.folder / f"{self.name}.json"
        config_path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._log = self.log_path.open("ab")
        environment = build_environment() | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(config_path),
            "TMPDIR": str(self.folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(LOCAL, self.port)
            try:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                return await reader.readexactly(7) == b"+PONG\r\n"
            finally:
                writer.close()
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    async def kill(self) -> None:
        """Kill the process, if it still runs, and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        if self._log is not None:
            self._log.close()

    def copy_log(self, record: Record) -> None:
        """Add the gateway's log to the record."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            record.lines.append(f"log of {self.name}: {line}")
