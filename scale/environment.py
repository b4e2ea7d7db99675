"""The environment that all scenarios start alike: fake services, real gateways and their clients."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .gateway_configuration import gateway_config
from .result import Result
from .supervisor import Supervisor, WorkerProcess

BACKEND_PORTS = 16
"""Ports of the fake backends: each serves many listed ones."""

CLOSED_PORT = 1
"""A port that nothing listens on."""

START_TIMEOUT_S = 120.0
"""How long all gateways together may take to start."""


@dataclass
class Environment:
    """The fake services of a run, each a process; ports are on the loopback address."""

    supervisor: Supervisor
    discovery: WorkerProcess
    counter: WorkerProcess
    backends: WorkerProcess | None
    discovery_port: int
    counter_port: int
    seed: int
    stall_ms: float  # for which discovery's process is held up in each measured part
    launcher: WorkerProcess | None = None  # of the real gateways

    @classmethod
    async def start(
        cls,
        supervisor: Supervisor,
        *,
        backends: int,
        seed: int,
        latency_ms: float | None = None,
        stall_ms: float = 0.0,
    ) -> Environment:
        """Start discovery with so many backends, the counter, and backends that take `latency_ms`.

        Without a latency nothing listens where the listed backends are said to be.
        """
        discovery = await supervisor.start("fakes")
        counter = await supervisor.start("fakes")
        backend_worker = None
        ports = [CLOSED_PORT]
        if latency_ms is not None:
            backend_worker = await supervisor.start("fakes")
            port_count = min(BACKEND_PORTS, backends)
            ports = await backend_worker.call("start_backends", ports=port_count, latency_ms=latency_ms)
        return cls(
            supervisor,
            discovery,
            counter,
            backend_worker,
            discovery_port=await discovery.call("start_discovery", backends=backends, ports=ports, seed=seed),
            counter_port=await counter.call("start_counter"),
            seed=seed,
            stall_ms=stall_ms,
        )

    def config(self, index: int, gateways: int) -> dict[str, Any]:
        """Return the configuration of gateway `index` of a fleet of `gateways`."""
        return gateway_config(
            index,
            gateways,
            discovery_port=self.discovery_port,
            counter_port=self.counter_port,
            seed=self.seed,
        )

    async def launch_gateways(self, checkout: Path, configs: list[dict[str, Any]]) -> list[dict[str, int]]:
        """Start real gateways of a checkout; return `pid` and `port` of each."""
        self.launcher = await self.supervisor.start("launcher")
        launched: list[dict[str, int]] = await self.launcher.call(
            "start", checkout=str(checkout), configs=configs, timeout_s=START_TIMEOUT_S
        )
        return launched

    async def wait_for_watches(self, count: int) -> None:
        """Wait until so many gateways watch the list."""
        await self.discovery.call("wait_for_watches", count=count, timeout_s=START_TIMEOUT_S)

    async def begin(self, *others: WorkerProcess) -> None:
        """Restart all counts: what is measured begins."""
        for worker in self._counting_workers(*others):
            await worker.call("begin")
        if self.stall_ms:
            await self.discovery.call("stall", duration_ms=self.stall_ms)

    def _counting_workers(self, *others: WorkerProcess) -> list[WorkerProcess]:
        workers = (self.discovery, self.counter, self.backends, *others)
        return [worker for worker in workers if worker is not None]

    async def read(self, result: Result, phase: str, *others: WorkerProcess) -> dict[str, Any]:
        """Return bytes and calls at discovery and the counter since `begin`; lateness goes to the result.

        Raises:
            RunError: a real gateway has exited meanwhile.
        """
        counts: dict[str, Any] = {}
        for worker in self._counting_workers(*others):
            read = await worker.call("read")
            services = [name for name in read if name != "lag"] or ["clients"]
            result.note_lag(f"{services[0]}, {phase}", read["lag"])
            counts.update(read)
        if self.launcher is not None:
            await self.launcher.call("check")
        return counts
