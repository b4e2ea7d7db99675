"""The environment that all scenarios share: fake services, real gateways and their clients."""

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
"""Maximum number of ports of the fake backends; each port serves many listed backends."""

BACKEND_LATENCY_MS = 5.0
"""Milliseconds that a fake backend takes for a request."""

CLOSED_PORT = 1
"""A port that nothing listens on."""

START_TIMEOUT_S = 120.0
"""Seconds that all gateways together may take to start."""


@dataclass(kw_only=True)
class Environment:
    """The fake services of a run, each in its own process; ports are on the loopback address."""

    supervisor: Supervisor
    discovery: WorkerProcess
    counter: WorkerProcess
    backends: WorkerProcess | None
    discovery_port: int
    counter_port: int
    seed: int
    stall_ms: float
    """Milliseconds that the fake discovery is stalled in each measured phase."""

    launcher: WorkerProcess | None = None
    """Worker that starts the real gateways; None without real gateways."""

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
        """Start discovery with a list of `backends` backends, the counter, and the fake backends.

        If `with_backends` is false, nothing listens at the addresses of the list.
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
        """Return the configuration of gateway `index` in a fleet of `gateways`."""
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
        """Start a real gateway of the checkout `program` for each configuration."""
        self.launcher = await self.supervisor.start("launcher")
        launched: list[LaunchedGatewayInfo] = await self.launcher.call(
            "start", checkout=str(Path(program)), configs=configs, timeout_s=START_TIMEOUT_S
        )
        return launched

    async def start_clients(
        self, ports: Sequence[int], customers: CustomerPopulation, *, first_gateway: int = 0
    ) -> WorkerProcess:
        """Start the clients of the real gateways, whose indexes are consecutive from `first_gateway` on."""
        clients = await self.supervisor.start("clients")
        gateways = list(enumerate(ports, start=first_gateway))
        await clients.call("connect", gateways=gateways, customers=customers)
        return clients

    async def wait_for_watches(self, count: int) -> None:
        """Wait until `count` gateways watch the endpoint list."""
        await self.discovery.call("wait_for_watches", count=count, timeout_s=START_TIMEOUT_S)

    async def begin_phase(self, *extra_workers: WorkerProcess) -> None:
        """Begin a measured phase: reset the counts of all workers, and stall discovery for `stall_ms`."""
        for worker in self._counting_workers(*extra_workers):
            await worker.call("begin")
        if self.stall_ms:
            await self.discovery.call("stall", duration_ms=self.stall_ms)

    async def read_counts(self, result: Result, phase: str, *extra_workers: WorkerProcess) -> dict[str, Any]:
        """Return bytes and calls at the fake services since `begin_phase`; add their timer lag to `result`.

        Raises:
            RunError: a real gateway has exited.
        """
        counts: dict[str, Any] = {}
        for worker in self._counting_workers(*extra_workers):
            figures = await worker.call("read")
            lag = figures.pop("lag")
            service = next(iter(figures), "clients")
            result.record_lag(f"{service}, {phase}", lag)
            counts.update(figures)
        if self.launcher is not None:
            await self.launcher.call("check")
        return counts

    def _counting_workers(self, *extra_workers: WorkerProcess) -> list[WorkerProcess]:
        workers = (self.discovery, self.counter, self.backends, *extra_workers)
        return [worker for worker in workers if worker is not None]


async def start_backends(worker: WorkerProcess, backends: int) -> list[int]:
    """Start the fake backends for a list of `backends` backends; return their ports."""
    port_count = min(MAX_BACKEND_PORTS, backends)
    ports: list[int] = await worker.call("start_backends", ports=port_count, latency_ms=BACKEND_LATENCY_MS)
    return ports


async def send_load(clients: WorkerProcess, *, rate: float, seconds: float) -> LoadSummary:
    """Let the clients send `rate` requests a second over all real gateways; return the summary."""
    summary: LoadSummary = await clients.call_lasting(seconds, "run", rate=rate, seconds=seconds)
    return summary
