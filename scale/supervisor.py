"""The worker processes of a run: started, called and ended by the leading process."""

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

from .errors import CallTimeoutError, RunError
from .worker import MAX_LINE_BYTES

PACKAGE_ROOT = Path(__file__).resolve().parents[1]
"""The folder that the package `scale` lies in."""

EXIT_TIMEOUT_S = 5.0
"""How long a worker may take to exit by itself before it is killed."""

CALL_TIMEOUT_S = 120.0
"""How long a call may take where the caller says nothing: enough for a start on a crowded machine."""


class WorkerProcess:
    """One process with a role of `scale.worker`."""

    def __init__(self, role: str, process: asyncio.subprocess.Process, stderr: IO[bytes]) -> None:
        self.role = role
        self.process = process
        self.pid = process.pid
        self._stderr = stderr
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._last_call_id = 0
        self._reader_task = asyncio.get_running_loop().create_task(self._read_answers())

    async def _read_answers(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            answer = json.loads(line)
            pending = self._pending_calls.pop(answer["id"], None)
            if pending is None or pending.done():
                continue
            if "error" in answer:
                pending.set_exception(RunError(f"{self.role}: {answer['error']}"))
            else:
                pending.set_result(answer["result"])
        for pending in self._pending_calls.values():
            if not pending.done():
                pending.set_exception(self._exit_error())

    def _exit_error(self) -> RunError:
        self._stderr.seek(0)
        lines = self._stderr.read().decode(errors="replace").strip().splitlines()
        return RunError(f"{self.role} ended: {lines[-1] if lines else 'it said nothing'}")

    async def call(self, method: str, *, timeout_s: float = CALL_TIMEOUT_S, **arguments: Any) -> Any:
        """Call a method of the role and return its result.

        Raises:
            RunError: the method failed, or the process exited.
            CallTimeoutError: there was no answer within `timeout_s`.
        """
        if self._reader_task.done():
            raise self._exit_error()
        assert self.process.stdin is not None
        self._last_call_id += 1
        call_id = self._last_call_id
        pending = self._pending_calls[call_id] = asyncio.get_running_loop().create_future()
        call = {"id": call_id, "method": method, "arguments": arguments}
        self.process.stdin.write(json.dumps(call).encode() + b"\n")
        try:
            async with asyncio.timeout(timeout_s):
                return await pending
        except TimeoutError:
            raise CallTimeoutError(f"{self.role}: {method} not done within {timeout_s:g} s") from None
        finally:
            self._pending_calls.pop(call_id, None)

    async def stop(self) -> None:
        """Close the worker's input, wait for its exit, and kill what is left of it and of its children."""
        descendants: list[psutil.Process] = []
        with contextlib.suppress(psutil.Error):
            descendants = psutil.Process(self.pid).children(recursive=True)
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        for process in descendants:
            with contextlib.suppress(psutil.Error):
                process.kill()
        await self._reader_task
        self._stderr.close()


class Supervisor:
    """Owns all workers of a run; they have exited when its `async with` block is left, however it is left."""

    def __init__(self) -> None:
        self._workers: list[WorkerProcess] = []

    async def start(self, role: str, checkout: Path | None = None) -> WorkerProcess:
        """Start a worker; one that measures imports the program from the folder `checkout`."""
        stderr = tempfile.TemporaryFile()  # noqa: SIM115 - the worker owns it, and closes it at its end
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            "scale.worker",
            role,
            *([str(checkout)] if checkout else []),
            cwd=checkout or PACKAGE_ROOT,
            # No compiled files: a checkout that is measured is not written to.
            env={**os.environ, "PYTHONPATH": str(PACKAGE_ROOT), "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=stderr,
            start_new_session=True,  # Ctrl-C reaches the leading process alone, which ends all in order
            limit=MAX_LINE_BYTES,
        )
        worker = WorkerProcess(role, process, stderr)
        self._workers.append(worker)
        return worker

    async def __aenter__(self) -> Self:
        """Begin a run without workers."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop all workers."""
        await asyncio.gather(*(worker.stop() for worker in self._workers), return_exceptions=True)
        self._workers.clear()
