"""The environment that all scenarios start alike: fake services, real gateways and their clients."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .customers import CustomerPopulation
from .figures import LaunchedGatewayInfo, LoadSummary
from .gateway_configuration import gateway_config
from .result import Result
from .supervisor import Supervisor, WorkerProcess

MAX_BACKEND_PORTS = 16
"""Ports of the fake backends; each serves many listed ones."""

BACKEND_LATENCY_MS = 5.0
"""How long the fake backends take for a request."""

CLOSED_PORT = 1
"""A port that nothing listens on."""

START_TIMEOUT_S = 120.0
"""How long all gateways together may take to start."""


@dataclass(kw_only=True)
class Environment:
    """The fake services of a run, each a process; ports are on the loopback address."""

    supervisor: Supervisor
    discovery: WorkerProcess
    counter: WorkerProcess
    backends: WorkerProcess | None
    discovery_port: int
    counter_port: int
    seed: int
    stall_ms: float
    """How long the fake discovery is stalled in each measured phase."""

    launcher: WorkerProcess | None = None
    """Owner of the real gateways, None where there are none."""

    @classmethod
    async def start(
        cls,
        supervisor: Supervisor,
        *,
        backends: int,
        seed: int,
        with_backends: bool = True,
        stall_ms: float = 0.0,
    ) -> Environment:
        """Start discovery with a list of so many backends, the counter, and the fake backends.

        Without backends nothing listens at the addresses of the list.
        """
        discovery = await supervisor.start("fakes")
        counter = await supervisor.start("fakes")
        backend_worker = await supervisor.start("fakes") if with_backends else None
        ports = [CLOSED_PORT] if backend_worker is None else await start_backends(backend_worker, backends)
        return cls(
            supervisor=supervisor,
            discovery=discovery,
            counter=counter,
            backends=backend_worker,
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

    async def launch_gateways(
        self, program: str, configs: Sequence[dict[str, Any]]
    ) -> list[LaunchedGatewayInfo]:
        """Start a real gateway of a checkout for each configuration."""
        self.launcher = await self.supervisor.start("launcher")
        launched: list[LaunchedGatewayInfo] = await self.launcher.call(
            "start", checkout=str(Path(program)), configs=configs, timeout_s=START_TIMEOUT_S
        )
        return launched

    async def start_clients(
        self, ports: Sequence[int], customers: CustomerPopulation, *, first_gateway: int = 0
    ) -> WorkerProcess:
        """Start the clients of the real gateways, which have consecutive indexes from `first_gateway` on."""
        clients = await self.supervisor.start("clients")
        gateways = list(enumerate(ports, start=first_gateway))
        await clients.call("connect", gateways=gateways, customers=customers)
        return clients

    async def wait_for_watches(self, count: int) -> None:
        """Wait until so many gateways watch the endpoint list."""
        await self.discovery.call("wait_for_watches", count=count, timeout_s=START_TIMEOUT_S)

    async def begin(self, *others: WorkerProcess) -> None:
        """Restart all counts: a measured phase begins."""
        for worker in self._counting_workers(*others):
            await worker.call("begin")
        if self.stall_ms:
            await self.discovery.call("stall", duration_ms=self.stall_ms)

    async def read(self, result: Result, phase: str, *others: WorkerProcess) -> dict[str, Any]:
        """Return bytes and calls at discovery and the counter since `begin`; timer lag goes to the result.

        Raises:
            RunError: a real gateway has exited meanwhile.
        """
        counts: dict[str, Any] = {}
        for worker in self._counting_workers(*others):
            figures = await worker.call("read")
            lag = figures.pop("lag")
            service = next(iter(figures), "clients")
            result.record_lag(f"{service}, {phase}", lag)
            counts.update(figures)
        if self.launcher is not None:
            await self.launcher.call("check")
        return counts

    def _counting_workers(self, *others: WorkerProcess) -> list[WorkerProcess]:
        workers = (self.discovery, self.counter, self.backends, *others)
        return [worker for worker in workers if worker is not None]


async def start_backends(worker: WorkerProcess, backends: int) -> list[int]:
    """Start the fake backends of a list of so many; return their ports."""
    port_count = min(MAX_BACKEND_PORTS, backends)
    ports: list[int] = await worker.call("start_backends", ports=port_count, latency_ms=BACKEND_LATENCY_MS)
    return ports


async def send_load(clients: WorkerProcess, *, rate: float, seconds: float) -> LoadSummary:
    """Let the clients send `rate` requests a second over all real gateways; return what became of them."""
    summary: LoadSummary = await clients.call_lasting(seconds, "run", rate=rate, seconds=seconds)
    return summary
