"""The events that the policy's host delivers. All times are milliseconds on the host's clock.

No event is changed once it has been created. The types are not frozen dataclasses, because those assign each
field through a call: their instances take longer to create, and the types take longer to define when the
process starts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .timers import TimerToken


class EndpointState(Enum):
    """The state of a backend in the endpoint list."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class UpdateKind(Enum):
    """What an endpoint update contains."""

    DELTA = auto()
    """Changes since the last update."""
    SNAPSHOT = auto()
    """The complete list."""
    CACHED = auto()
    """The complete list as cached before the start of this process; it may be stale."""
    WATCH_FAILED = auto()
    """Nothing: the list could not be read."""


class Outcome(Enum):
    """How an attempt or a counter call ended."""

    OK = auto()
    FAILED = auto()
    """The backend or the counter responded with an error."""
    QUEUE_FULL = auto()
    """The backend or the counter rejected the attempt or call without processing it."""
    TIMED_OUT = auto()
    CONNECT_ERROR = auto()
    """No connection was established, or it broke before the request was sent."""
    CONNECTION_RESET = auto()
    """The connection broke after the request was sent: the request may have run."""
    CANCELLED = auto()
    NOT_STARTED = auto()
    """The host did not carry out the action that starts the attempt or call."""


NOT_PROCESSED = (Outcome.QUEUE_FULL, Outcome.CONNECT_ERROR, Outcome.NOT_STARTED)
"""Outcomes of attempts and calls that are known not to have been processed."""


class Endpoint(NamedTuple):
    """One backend in the endpoint list."""

    backend_id: int
    zone: str
    cell: int
    started_at: float
    """When the process of the backend started; 0 if that is not known."""
    state: EndpointState


@dataclass(slots=True)
class EndpointUpdate:
    """Entries of the endpoint list; a snapshot may arrive in parts and, with the last, replaces the list."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]
    is_first: bool = True
    is_last: bool = True


@dataclass(slots=True)
class RequestArrived:
    """A request has arrived; its customer's requests arrive through a set of `gateway_set_size` gateways."""

    request_id: str
    request_class: str
    plan: str
    customer: str
    deadline: float
    cost: float
    gateway_set_size: int
    gateway_set_start: int
    """The index of the first gateway of the set."""
    is_retry: bool = False
    """Whether the client has sent this request before."""


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `request_finished` tells whether its request already has its final response."""

    request_id: str
    attempt_number: int
    backend_id: int
    outcome: Outcome
    latency_ms: float
    request_finished: bool


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of a response have arrived."""

    request_id: str
    attempt_number: int
    backend_id: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has disconnected."""

    request_id: str


@dataclass(slots=True)
class CounterResponse:
    """The counter's response to the oldest pending call for the total `name`, or the failure of that call."""

    name: str
    outcome: Outcome
    total: float


@dataclass(slots=True)
class TimerFired:
    """A timer that the policy set has fired."""

    token: TimerToken


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    payload: bytes


Event = (
    EndpointUpdate
    | RequestArrived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | CounterResponse
    | TimerFired
    | PeerMessage
)
