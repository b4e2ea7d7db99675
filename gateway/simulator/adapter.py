"""Adapter from the wire (JSON lines on standard input and output) to the policy. Decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from ..policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResponse,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from ..policy.policy import GatewayPolicy
from ..policy.timers import TimerToken
from ..settings_document import parse_settings

ENDPOINT_STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "INCREMENTAL": UpdateKind.DELTA,
    "FULL": UpdateKind.SNAPSHOT,
    "SAVED": UpdateKind.CACHED,
    "FAILED": UpdateKind.WATCH_FAILED,
}
OUTCOMES = {
    "Ok": Outcome.OK,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.QUEUE_FULL,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.CONNECT_ERROR,
    "ResetByPeer": Outcome.CONNECTION_RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.NOT_STARTED,
}


class WireFormatError(Exception):
    """What came in is not of the wire's shape."""


def read_entry(raw: list[Any]) -> Endpoint:
    zone, cell, started, state, _weight, backend = raw[:6]
    return Endpoint(
        backend_id=int(backend),
        zone=str(zone or ""),
        cell=int(cell or 0),
        started_at=float(started or 0),
        state=ENDPOINT_STATES[state],
    )


def parse_endpoint_list(scope: str, _revision: Any, entries: Any, *_: Any) -> Event:
    return EndpointUpdate(UPDATE_KINDS[scope], tuple(read_entry(e) for e in entries or ()))


def read_request(
    request: str,
    name: str,
    plan: Any,
    customer: Any,
    expires: float,
    units: Any,
    spread: Any,
    first: Any,
    bits: Any = 0,
    *_: Any,
) -> Event:
    return RequestArrived(
        text(request),
        text(name),
        str(plan or ""),
        str(customer or ""),
        float(expires),
        float(units or 0),
        int(spread or 1),
        int(first or 0),
        bool(int(bits or 0) & 2),
    )


def read_ended(
    request: str, _settled: Any, lag: Any, outcome: str, finished: Any, attempt: int, backend: int, *_: Any
) -> Event:
    return AttemptEnded(
        text(request), int(attempt), int(backend), OUTCOMES[outcome], float(lag or 0), bool(finished)
    )


def read_began(request: str, attempt: int, backend: int, *_: Any) -> Event:
    return ResponseStarted(text(request), int(attempt), int(backend))


def read_counted(reading: Any, _lag: Any, outcome: str, name: str, *_: Any) -> Event:
    return CounterResponse(text(name), OUTCOMES[outcome], float(reading or 0))


def read_timer(token: Any, *_: Any) -> Event | None:
    try:
        return TimerFired(TimerToken.decode(text(token)))
    except ValueError:
        return None  # no timer of this policy


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise WireFormatError(f"expected text, got {value!r}")
    return value


READERS: dict[str, Callable[..., Event | None]] = {
    "backendsChanged": parse_endpoint_list,
    "jobIn": read_request,
    "ended": read_ended,
    "underWay": read_began,
    "lapsed": lambda request, *_: ClientDisconnected(text(request)),
    "ledgerReply": read_counted,
    "wakeup": read_timer,
    "whisper": lambda sender, payload, *_: PeerMessage(int(sender), bytes.fromhex(payload)),
    "health": lambda *_: None,
}


def write_action(action: Action) -> list[Any]:
    match action:
        case StartAttempt(request, backend, timeout):  # it is sent at once: `latest` is never waited for
            return ["callOut", request, timeout, backend]
        case CancelAttempt(request, attempt):
            return ["cancel", request, attempt]
        case Reject(request, retry_after):
            return ["bounce", request, retry_after]
        case Fail(request):
            return ["dropRequest", request]
        case SetTimer(delay, token):
            return ["sleep", delay, token.encode()]
        case IncrementCounter(name, amount, expire_in):
            return ["incr", name, expire_in, amount]
        case WatchEndpoints(enable):
            return ["follow", enable]


class Host:
    """The gateways of this process, one for each instance that was created and has not stopped."""

    def __init__(self) -> None:
        self.gateways: dict[int, GatewayPolicy] = {}

    def batch(self, line: str) -> str:
        try:
            message = json.loads(line)
            now = float(message["moment"])
            groups = [{"gatewayId": g["gatewayId"], "out": self.group(now, g)} for g in message["groups"]]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireFormatError(f"{type(error).__name__}: {error}") from error
        return json.dumps({"groups": [g for g in groups if g["out"]]}, separators=(",", ":"))

    def group(self, now: float, group: dict[str, Any]) -> list[list[Any]]:
        instance = int(group["gatewayId"])
        out: list[list[Any]] = []
        for name, *values in group["arrivals"]:
            if name == "create":
                seed, setup = values[:2]
                self.gateways[instance] = GatewayPolicy(parse_settings(setup), int(seed))
                continue
            if instance not in self.gateways:
                raise WireFormatError(f"event {name!r} for unknown instance {instance}")
            if name == "exit":
                del self.gateways[instance]
                out.clear()
                continue
            if name not in READERS:
                raise WireFormatError(f"unknown event {name!r}")
            event = READERS[name](*values)
            if event is not None:
                out += [write_action(a) for a in self.gateways[instance].handle(now, event)]
        return out


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout) -> int:
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.batch(line)
        except WireFormatError as error:
            print("gateway.simulator: bad input: " + " ".join(str(error).split()), file=sys.stderr)
            return 2
        replies.write(reply + "\n")
        replies.flush()
    return 0
