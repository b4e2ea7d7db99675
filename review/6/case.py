"""Some answers state a length that does not fit, and clients are served more than their value."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.case import run  # noqa: E402
from standins2.clients import Front, Request, RequestMaker, wait_for  # noqa: E402
from standins2.deployment import WORK_S, Deployment, send_steadily, value_for  # noqa: E402
from standins2.record import HAS_TROUBLE, CannotRunError, Record  # noqa: E402
from standins2.servers import BackendConnection  # noqa: E402

REQUESTS_PER_S = 120
DURATION_S = 45.0
SPOILT_SHARE = 0.1
LENGTH_ERRORS = range(-20, 21)
CLASSES = ("timetable-read", "booking", "payment")


class SpoilingBackend:
    """A backend that reports its load in every answer, and states a wrong length in some."""

    def __init__(self) -> None:
        self.spoilt_answers = 0
        self._rng = random.Random(6)

    async def serve(self, connection: BackendConnection, command: list[bytes]) -> None:
        """Serve a request."""
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        value = value_for(command[2])
        stated = len(value)
        if HAS_TROUBLE and self._rng.random() < SPOILT_SHARE:
            stated += self._rng.choice([error for error in LENGTH_ERRORS if error])
            self.spoilt_answers += 1
            connection.backend.record.note(f"spoilt   {command[2].decode()} {stated} for {len(value)} bytes")
        report = b"util=%.2f" % self._rng.uniform(0.37, 0.51)
        connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (stated, value, len(report), report))


async def play(record: Record) -> list[str]:
    """Send requests while some answers are spoilt; return those served with anything but their value."""
    spoiling = SpoilingBackend()
    deployment = Deployment(record, spoiling.serve)
    maker = RequestMaker()
    requests: list[Request] = []
    async with deployment.running():
        front = Front(record, deployment.gateway.port)
        sending = [
            send_steadily(
                front, maker, per_s=REQUESTS_PER_S / len(CLASSES), seconds=DURATION_S, request_class=name
            )
            for name in CLASSES
        ]
        for sent in await asyncio.gather(*sending):
            requests += sent
        await wait_for(requests, 4.0)
        deployment.check()
    served = [r for r in requests if r.outcome == "served"]
    record.say(f"{len(requests)} requests, {len(served)} served, {spoiling.spoilt_answers} spoilt answers")
    if len(served) < len(requests) / 2:
        raise CannotRunError("under half of the requests were served")
    return [
        f"{r.command.split()[2].decode()} {r.id} was served with {r.reply[1]!r}"
        for r in served
        if r.reply and r.reply[1] != value_for(r.id.encode())
    ]


if __name__ == "__main__":
    run(FOLDER, play)
