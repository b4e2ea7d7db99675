"""Types of the results that worker processes send to the main process in JSON."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class LatencySummary(TypedDict):
    """Number of latencies in a histogram, and their percentiles and maximum in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class RepeatSummary(TypedDict):
    """Summary of the repeated measurements of one figure, in the figure's unit."""

    min: float
    median: float
    max: float


class LoadSummary(TypedDict):
    """Outcomes and latencies of the requests in one run of the clients."""

    sent: int
    unsent: int
    served: int
    rejected: int
    failed: int
    latency: LatencySummary
    added_latency: LatencySummary
    """The latency that the gateway added to the backend's."""


class LaunchedGatewayInfo(TypedDict):
    """Process id and port of a real gateway that listens."""

    pid: int
    port: int


class HollowStartMemory(TypedDict):
    """Memory of a process before and after the start of its hollow gateways, in MB."""

    before_mb: float
    after_mb: float


class HollowFigures(TypedDict):
    """Processor time, memory and requests of one process's hollow gateways in a measured phase."""

    cpu_s: float
    seconds: float
    rss_mb: float
    sent: int
    served: int


class Announcement(TypedDict):
    """Time at which endpoint changes were sent, in seconds of the monotonic clock, and the changed hosts."""

    at: float
    hosts: list[str]


class ControlMeasurement(TypedDict):
    """Measurement of one gateway's control work.

    A pass without the event-loop probe reports processor times, and a pass with the probe reports stalls.
    """

    is_complete: bool
    """Whether all announced changes were applied in time."""

    cpu_ms: NotRequired[float]
    update_cpu_ms: NotRequired[list[float]]
    """Processor time from one update to the next; an update applies a part of a list, or a change."""

    max_stall_cpu_ms: NotRequired[float]
    max_stall_wall_ms: NotRequired[float]
    update_stall_cpu_ms: NotRequired[list[float]]
    """Processor time of each event-loop iteration that applied a part of a list, or a change."""


class StartMeasurement(ControlMeasurement):
    """Measurement of a start, at which a gateway reads the whole endpoint list."""

    gc_ms: float
    """Wall time of the garbage collection that ends a start."""

    rss_mb: float


class SteadyMeasurement(ControlMeasurement):
    """Measurement of a steady phase."""

    sent: int
    served: int
    rss_mb: float
