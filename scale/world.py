"""The surroundings that all scenarios start alike: stand-ins, real gateways and their clients."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .children import Child, Children
from .report import Result
from .settings import gateway_config

PORTS = 16  # of the backend stand-ins: each serves many listed backends
START_S = 120.0


@dataclass
class World:
    """The stand-ins of a run, each a process; ports are on the loopback address."""

    children: Children
    surroundings: Child  # discovery and the counter
    backends: Child
    discovery: int
    counter: int
    seed: int
    stall: float  # milliseconds for which discovery's process is held up in each measured part

    @classmethod
    async def start(
        cls, children: Children, backends: int, seed: int, latency: float, stall: float = 0.0
    ) -> World:
        """Start discovery with so many backends, the counter, and backends that take `latency` ms."""
        surroundings, machines = await children.start("standins"), await children.start("standins")
        ports = await machines.call("start_backends", ports=min(PORTS, backends), latency=latency)
        discovery = await surroundings.call("start_discovery", backends=backends, ports=ports, seed=seed)
        counter = await surroundings.call("start_counter")
        return cls(children, surroundings, machines, discovery, counter, seed, stall)

    def config(self, index: int, gateways: int) -> dict[str, Any]:
        """The configuration of gateway `index` of a fleet of `gateways`."""
        return gateway_config(index, gateways, self.discovery, self.counter, self.seed)

    async def gateways(self, program: Path, configs: list[dict[str, Any]]) -> list[dict[str, int]]:
        """Start real gateways of a checkout; gives `pid` and `port` of each."""
        keeper = await self.children.start("keeper")
        started: list[dict[str, int]] = await keeper.call(
            "start", program=str(program), configs=configs, within=START_S
        )
        return started

    async def watched(self, count: int) -> None:
        """Wait until so many gateways watch the list."""
        await self.surroundings.call("watches", wanted=count, within=START_S)

    async def begin(self, *others: Child) -> None:
        """What is measured begins."""
        for child in (self.surroundings, self.backends, *others):
            await child.call("begin")
        if self.stall:
            await self.surroundings.call("stall", ms=self.stall)

    async def read(self, result: Result, where: str, *others: Child) -> dict[str, Any]:
        """Bytes and calls at discovery and the counter since `begin`; lateness goes to the result."""
        for child in (self.backends, *others):
            got = await child.call("read")
            name = "clients" if child.role == "load" else "backends"
            result.late(f"{name}, {where}", got["lag"])
        counted: dict[str, Any] = await self.surroundings.call("read")
        result.late(f"discovery and counter, {where}", counted["lag"])
        return counted
