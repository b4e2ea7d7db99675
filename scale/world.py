"""The surroundings that all scenarios start alike: stand-ins, real gateways and their clients."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .children import Child, Children
from .report import Result
from .settings import gateway_config

PORTS = 16  # of the backend stand-ins: each serves many listed backends
CLOSED = 1  # a port that nothing listens on
START_S = 120.0


@dataclass
class World:
    """The stand-ins of a run, each a process; ports are on the loopback address."""

    children: Children
    discovery: Child
    counter: Child
    backends: Child | None
    discovery_port: int
    counter_port: int
    seed: int
    stall: float  # milliseconds for which discovery's process is held up in each measured part
    keeper: Child | None = None  # of the real gateways

    @classmethod
    async def start(
        cls, children: Children, backends: int, seed: int, latency: float | None, stall: float = 0.0
    ) -> World:
        """Start discovery with so many backends, the counter, and backends that take `latency` ms.

        Without a latency nothing listens where the listed backends are said to be.
        """
        told, tally = await children.start("standins"), await children.start("standins")
        machines, ports = None, [CLOSED]
        if latency is not None:
            machines = await children.start("standins")
            ports = await machines.call("start_backends", ports=min(PORTS, backends), latency=latency)
        discovery = await told.call("start_discovery", backends=backends, ports=ports, seed=seed)
        counter = await tally.call("start_counter")
        return cls(children, told, tally, machines, discovery, counter, seed, stall)

    def config(self, index: int, gateways: int) -> dict[str, Any]:
        """The configuration of gateway `index` of a fleet of `gateways`."""
        return gateway_config(index, gateways, self.discovery_port, self.counter_port, self.seed)

    async def gateways(self, program: Path, configs: list[dict[str, Any]]) -> list[dict[str, int]]:
        """Start real gateways of a checkout; gives `pid` and `port` of each."""
        self.keeper = await self.children.start("keeper")
        started: list[dict[str, int]] = await self.keeper.call(
            "start", program=str(program), configs=configs, within=START_S
        )
        return started

    async def watched(self, count: int) -> None:
        """Wait until so many gateways watch the list."""
        await self.discovery.call("watches", wanted=count, within=START_S)

    async def begin(self, *others: Child) -> None:
        """What is measured begins."""
        for child in self._standins(*others):
            await child.call("begin")
        if self.stall:
            await self.discovery.call("stall", ms=self.stall)

    def _standins(self, *others: Child) -> list[Child]:
        standins = (self.discovery, self.counter, self.backends, *others)
        return [child for child in standins if child is not None]

    async def read(self, result: Result, where: str, *others: Child) -> dict[str, Any]:
        """Bytes and calls at discovery and the counter since `begin`; lateness goes to the result.

        RunProblem where a real gateway has ended meanwhile.
        """
        read: dict[str, Any] = {}
        for child in self._standins(*others):
            got = await child.call("read")
            parts = [name for name in got if name != "lag"] or ["clients"]
            result.late(f"{parts[0]}, {where}", got["lag"])
            read.update(got)
        if self.keeper is not None:
            await self.keeper.call("check")
        return read
