"""The figures that worker processes report to the leading process, as they travel in JSON."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class LatencySummary(TypedDict):
    """Percentiles of a latency histogram."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class RepeatSummary(TypedDict):
    """Repeated measurements of one figure, in the figure's unit."""

    min: float
    median: float
    max: float


class LoadSummary(TypedDict):
    """What became of the requests of one run of the clients."""

    sent: int
    unsent: int
    served: int
    rejected: int
    failed: int
    latency: LatencySummary
    added_latency: LatencySummary
    """The part of the latency that the gateway added to the backend's."""


class LaunchedGatewayInfo(TypedDict):
    """A real gateway that listens."""

    pid: int
    port: int


class HollowStartMemory(TypedDict):
    """Memory of a process before and after the start of its hollow gateways, in MB."""

    before_mb: float
    after_mb: float


class HollowFigures(TypedDict):
    """What the hollow gateways of one process took in a measured phase."""

    cpu_s: float
    seconds: float
    rss_mb: float
    sent: int
    served: int


class Announcement(TypedDict):
    """When endpoint changes were sent, in seconds of the monotonic clock, and the hosts they change."""

    at: float
    hosts: list[str]


class ControlMeasurement(TypedDict):
    """What one gateway's control work took; which times there are depends on the pass.

    A pass without the event-loop probe reports processor time, one with it reports stalls.
    """

    is_complete: bool
    """Whether all announced changes were applied in time."""

    cpu_ms: NotRequired[float]
    update_cpu_ms: NotRequired[list[float]]
    """Processor time between two parts of a list, or two changes."""

    max_stall_cpu_ms: NotRequired[float]
    max_stall_wall_ms: NotRequired[float]
    update_stall_cpu_ms: NotRequired[list[float]]
    """Stalls in which a part of the list, or a change, was applied."""


class StartMeasurement(ControlMeasurement):
    """What reading the whole endpoint list at a start took."""

    gc_ms: float
    """Wall time of the garbage collection that ends a start."""

    rss_mb: float


class SteadyMeasurement(ControlMeasurement):
    """What a phase of steady work took."""

    sent: int
    served: int
    rss_mb: float
