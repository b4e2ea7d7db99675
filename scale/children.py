"""The processes of a run, led from the parent: started, called and ended."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import IO, Any, Self

import psutil

from .child import LONGEST_LINE
from .errors import LateProblem, RunProblem

OWN = Path(__file__).resolve().parents[1]  # the folder that this package lies in
ENDING_S = 5.0  # how long a process may take to end by itself
CALL_S = 120.0


class Child:
    """One process with a role of scale/child.py."""

    def __init__(self, role: str, process: asyncio.subprocess.Process, errors: IO[bytes]) -> None:
        self.role, self.process, self.errors = role, process, errors
        self.pid = process.pid
        self.asked: dict[int, asyncio.Future[Any]] = {}
        self.reading = asyncio.get_running_loop().create_task(self._read())
        self.calls = 0

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            got = json.loads(line)
            asked = self.asked.pop(got["id"], None)
            if asked is None or asked.done():
                continue
            if "error" in got:
                asked.set_exception(RunProblem(f"{self.role}: {got['error']}"))
            else:
                asked.set_result(got["gave"])
        for asked in self.asked.values():
            if not asked.done():
                asked.set_exception(RunProblem(f"{self.role} ended: {self.last_words()}"))

    def last_words(self) -> str:
        self.errors.seek(0)
        lines = self.errors.read().decode(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    async def call(self, do: str, *, within: float = CALL_S, **given: Any) -> Any:
        """Call a method of the role and give what it gives.

        RunProblem if it fails or the process dies, LateProblem if it is not done within so many seconds.
        """
        if self.reading.done():
            raise RunProblem(f"{self.role} ended: {self.last_words()}")
        assert self.process.stdin is not None
        self.calls += 1
        number = self.calls
        asked = self.asked[number] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(json.dumps({"id": number, "do": do, "with": given}).encode() + b"\n")
        try:
            async with asyncio.timeout(within):
                return await asked
        except TimeoutError:
            raise LateProblem(f"{self.role}: {do} not done within {within:g} s") from None
        finally:
            self.asked.pop(number, None)

    async def end(self) -> None:
        """Close its input, wait, and kill what is left of it and of those that it started."""
        family: list[psutil.Process] = []
        with contextlib.suppress(psutil.Error):
            family = psutil.Process(self.pid).children(recursive=True)
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(ENDING_S):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        for process in family:
            with contextlib.suppress(psutil.Error):
                process.kill()
        await self.reading
        self.errors.close()


class Children:
    """All processes of a run; all have ended when the `async with` is left, however it is left."""

    def __init__(self) -> None:
        self.all: list[Child] = []

    async def start(self, role: str, program: Path | None = None) -> Child:
        """Start a process; one that measures imports the program from the folder `program`."""
        errors = tempfile.TemporaryFile()
        # In a session of its own: a Ctrl-C reaches the parent alone, which ends all in order.
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            "scale.child",
            role,
            *([str(program)] if program else []),
            cwd=program or OWN,
            env={**os.environ, "PYTHONPATH": str(OWN), "PYTHONDONTWRITEBYTECODE": "1"},  # leaves no trace
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            start_new_session=True,
            limit=LONGEST_LINE,
        )
        child = Child(role, process, errors)
        self.all.append(child)
        return child

    async def end(self, *children: Child) -> None:
        """End some before the others."""
        await asyncio.gather(*(child.end() for child in children), return_exceptions=True)
        self.all = [child for child in self.all if child not in children]

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.end(*self.all)
