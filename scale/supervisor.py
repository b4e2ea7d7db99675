"""Starts, calls and stops the worker processes of a run, in the main process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import IO, Any, Self

import psutil

from .errors import CallTimeoutError, RunError
from .worker_protocol import MAX_LINE_BYTES, WorkerCall, WorkerResponse

PACKAGE_ROOT = Path(__file__).resolve().parents[1]
"""Folder that contains the package `scale`."""

EXIT_TIMEOUT_S = 5.0
"""Seconds that a worker may take to exit after its input has closed, before it is killed."""

CALL_TIMEOUT_S = 120.0
"""Default timeout of a call, in seconds: enough for a start on a busy machine."""


class WorkerProcess:
    """A worker process, which runs a role of `scale.worker`."""

    def __init__(self, role: str, process: asyncio.subprocess.Process, stderr: IO[bytes]) -> None:
        self.pid = process.pid
        self._role = role
        self._process = process
        self._stderr = stderr
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._call_ids = itertools.count(1)
        self._reader_task = asyncio.get_running_loop().create_task(self._read_responses())

    async def _read_responses(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            response = WorkerResponse.decode(line)
            pending = self._pending_calls.pop(response.call_id, None)
            if pending is None or pending.done():
                continue
            if response.error is None:
                pending.set_result(response.result)
            else:
                pending.set_exception(RunError(f"worker {self._role} failed: {response.error}"))
        for pending in self._pending_calls.values():
            if not pending.done():
                pending.set_exception(self._exit_error())

    def _exit_error(self) -> RunError:
        self._stderr.seek(0)
        lines = self._stderr.read().decode(errors="replace").strip().splitlines()
        last_line = lines[-1] if lines else "(it wrote nothing)"
        return RunError(f"worker {self._role} exited, last line of its standard error: {last_line}")

    async def call(self, method: str, *, timeout_s: float = CALL_TIMEOUT_S, **arguments: Any) -> Any:
        """Call a method of the role and return its result.

        Raises:
            RunError: the method failed, or the process exited.
            CallTimeoutError: there was no response within `timeout_s`.
        """
        if self._reader_task.done():
            raise self._exit_error()
        assert self._process.stdin is not None
        call = WorkerCall(call_id=next(self._call_ids), method=method, arguments=arguments)
        pending = self._pending_calls[call.call_id] = asyncio.get_running_loop().create_future()
        self._process.stdin.write(call.encode())
        try:
            async with asyncio.timeout(timeout_s):
                return await pending
        except TimeoutError as error:
            message = f"worker {self._role} did not respond to {method} within {timeout_s:g} s"
            raise CallTimeoutError(message) from error
        finally:
            self._pending_calls.pop(call.call_id, None)

    async def call_lasting(self, duration_s: float, method: str, /, **arguments: Any) -> Any:
        """Call a method that runs for `duration_s`; the call's timeout is `CALL_TIMEOUT_S` longer."""
        return await self.call(method, timeout_s=duration_s + CALL_TIMEOUT_S, **arguments)

    async def stop(self) -> None:
        """Close the worker's input, wait for its exit, and kill the worker or descendants that still run."""
        descendants = self._descendants()
        assert self._process.stdin is not None
        self._process.stdin.close()
        await self._wait_for_exit()
        for descendant in descendants:
            with contextlib.suppress(psutil.Error):
                descendant.kill()
        await self._reader_task
        self._stderr.close()

    def _descendants(self) -> list[psutil.Process]:
        with contextlib.suppress(psutil.Error):
            return psutil.Process(self.pid).children(recursive=True)
        return []

    async def _wait_for_exit(self) -> None:
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


class Supervisor:
    """Owns the workers of a run; all have exited once its `async with` block ends, even by an exception."""

    def __init__(self) -> None:
        self._workers: list[WorkerProcess] = []

    async def start(self, role: str, checkout: Path | None = None) -> WorkerProcess:
        """Start a worker with a role; a role that imports the gateway package gets it from `checkout`."""
        stderr = tempfile.TemporaryFile()  # noqa: SIM115 - the worker owns it, and closes it in `stop`
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            "scale.worker",
            role,
            *([str(checkout)] if checkout else []),
            cwd=checkout or PACKAGE_ROOT,
            # No bytecode files: a run must not write to the checkout that it measures.
            env={**os.environ, "PYTHONPATH": str(PACKAGE_ROOT), "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=stderr,
            start_new_session=True,  # Ctrl-C reaches only the main process, which then stops the workers
            limit=MAX_LINE_BYTES,
        )
        worker = WorkerProcess(role, process, stderr)
        self._workers.append(worker)
        return worker

    async def __aenter__(self) -> Self:
        """Return the supervisor, which has no workers yet."""
        return self

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Stop all workers."""
        await asyncio.gather(*(worker.stop() for worker in self._workers), return_exceptions=True)
        self._workers.clear()
