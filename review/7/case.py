"""Bad clients send hundreds of commands at once, and the gateway grows beyond its memory limit."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.case import run  # noqa: E402
from standins2.clients import Front, Request, RequestMaker, wait_for  # noqa: E402
from standins2.deployment import Deployment, send_steadily, sound_backend, start_bad_clients  # noqa: E402
from standins2.record import HAS_TROUBLE, CannotRunError, Record  # noqa: E402

MEMORY_MB = 64
DESCRIPTORS = 1024
BAD_CLIENTS = 200
COMMANDS = 300
BAD_SECONDS = 40.0
REQUESTS_PER_S = 40
CHECK_S = 0.25


def resident_mb(pid: int) -> float:
    """Return the memory that a process holds."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


async def limit_memory(record: Record, deployment: Deployment) -> float:
    """Kill the gateway once it holds more than its limit, as the platform does; return the most it held."""
    most = 0.0
    while not deployment.gateway.has_ended:
        most = max(most, resident_mb(deployment.gateway.pid))
        record.note(f"memory   {most:.0f} MB at most")
        if most > MEMORY_MB:
            deployment.gateway.send_signal(signal.SIGKILL)
            record.say(f"the gateway held {most:.0f} MB of {MEMORY_MB} MB, and was killed")
            break
        await asyncio.sleep(CHECK_S)
    return most


async def play(record: Record) -> list[str]:
    """Let bad clients send, with usual load beside them; return that the gateway was killed, if it was."""
    deployment = Deployment(record, sound_backend(70))
    usual: list[Request] = []
    async with deployment.running(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}):
        front = Front(record, deployment.gateway.port)
        maker = RequestMaker()
        limiting = asyncio.ensure_future(limit_memory(record, deployment))
        if HAS_TROUBLE:
            bad = await start_bad_clients(deployment.gateway.port, BAD_CLIENTS, COMMANDS, BAD_SECONDS)
        sending = asyncio.ensure_future(
            send_steadily(front, maker, per_s=REQUESTS_PER_S, seconds=BAD_SECONDS - 5)
        )
        await asyncio.wait({limiting, sending}, return_when=asyncio.FIRST_COMPLETED)
        was_killed = limiting.done()
        if sending.done():
            usual = sending.result()
            await wait_for(usual, 4.0)
        sending.cancel()
        limiting.cancel()
        if HAS_TROUBLE:
            if bad.returncode is None:
                bad.kill()
            await bad.wait()
    if was_killed:
        return [
            f"the gateway went over its limit of {MEMORY_MB} MB and was killed with all that it had taken"
        ]
    if not HAS_TROUBLE and sum(r.outcome == "served" for r in usual) < len(usual) / 2:
        raise CannotRunError("under half of the usual requests were served")
    return []


if __name__ == "__main__":
    run(FOLDER, play)
