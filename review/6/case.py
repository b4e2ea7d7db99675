"""A second answer comes some milliseconds after the first, and becomes the answer to another request."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.case import run  # noqa: E402
from standins2.clients import Front, Request, RequestMaker, wait_for  # noqa: E402
from standins2.deployment import Deployment, send_steadily, sound_backend, value_for  # noqa: E402
from standins2.record import HAS_TROUBLE, CannotRunError, Record  # noqa: E402
from standins2.servers import BackendConnection, encode_answer  # noqa: E402

REQUESTS_PER_S = 120
DURATION_S = 45.0
SPOILT_SHARE = 0.05
LATE_BY_S = 0.008
WIRE_DELAY_S = 0.001
CLASSES = ("timetable-read", "booking", "payment")


class SpoilingBackend:
    """A sound backend that sends some of its answers a second time, when nothing else waits there."""

    def __init__(self) -> None:
        self.second_answers = 0
        self._rng = random.Random(6)
        self._serve = sound_backend(60)
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, connection: BackendConnection, command: list[bytes]) -> None:
        """Serve a request."""
        await self._serve(connection, command)
        if HAS_TROUBLE and self._rng.random() < SPOILT_SHARE:
            task = asyncio.ensure_future(self._send_again(connection, command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_again(self, connection: BackendConnection, command: list[bytes]) -> None:
        await asyncio.sleep(LATE_BY_S)
        if not connection.writer.is_closing() and not connection.waiting:
            connection.write(encode_answer(value_for(command[2])))
            connection.backend.record.note(f"again    {command[2].decode()}")
            self.second_answers += 1


async def play(record: Record) -> list[str]:
    """Send requests while some answers come twice; return those served with another request's value."""
    spoiling = SpoilingBackend()
    deployment = Deployment(record, spoiling.serve, wire_delay_s=WIRE_DELAY_S)
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
    record.say(f"{len(requests)} requests, {len(served)} served, {spoiling.second_answers} second answers")
    if len(served) < len(requests) / 2:
        raise CannotRunError("under half of the requests were served")
    return [
        f"{r.command.split()[2].decode()} {r.id} was served with {r.reply[1].decode()!r}"
        for r in served
        if r.reply and r.reply[1] != value_for(r.id.encode())
    ]


if __name__ == "__main__":
    run(FOLDER, play)
