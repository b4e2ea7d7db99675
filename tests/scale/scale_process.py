"""Runs `python -m scale` as a subprocess, and finds all processes that belong to the run."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
import uuid
from collections.abc import Iterator, Mapping
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

import psutil

ROOT = Path(__file__).parents[2]
"""Root folder of the checkout that contains these tests."""

RUN_ID_VARIABLE = "SCALE_TEST_RUN_ID"
"""Environment variable that identifies a run; all processes of the run inherit it."""

READY_PREFIX = "ready: "
"""Prefix of the progress line that a run prints once all its processes have started."""

POLL_INTERVAL_S = 0.02

SignalDispositions = Mapping[signal.Signals, signal.Handlers]
"""How a process handles each signal: `SIG_DFL` for the default action, or `SIG_IGN` to ignore it."""

UNCHANGED_DISPOSITIONS: SignalDispositions = MappingProxyType({})


class RunOutput(NamedTuple):
    """Output of a run."""

    stdout: str
    stderr: str


class CompletedRun(NamedTuple):
    """JSON result and standard output of a complete run."""

    result: dict[str, Any]
    stdout: str


class ScaleProcess:
    """The main process of a run, which is `python -m scale`, and the processes that the run starts."""

    def __init__(self, *args: str, dispositions: SignalDispositions) -> None:
        self._run_id = uuid.uuid4().hex
        self._process = subprocess.Popen(
            [sys.executable, "-m", "scale", *args],
            cwd=ROOT,
            env={**os.environ, RUN_ID_VARIABLE: self._run_id},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=partial(set_dispositions, dispositions),
        )

    @property
    def exit_status(self) -> int | None:
        """Exit status of the main process, or None while it runs."""
        return self._process.returncode

    def live_processes(self) -> list[psutil.Process]:
        """Return all live processes of the run, whichever process started them."""
        live = []
        for process in psutil.process_iter():
            with contextlib.suppress(psutil.Error):
                if process.environ().get(RUN_ID_VARIABLE) == self._run_id:
                    live.append(process)
        return live

    def wait_until_ready(self) -> list[psutil.Process]:
        """Wait until all processes of the run have started, and return them."""
        assert self._process.stderr is not None
        assert any(line.startswith(READY_PREFIX) for line in self._process.stderr)
        return self.live_processes()

    def wait_until_all_exit(self) -> None:
        """Wait until all processes of the run have exited; only the test's timeout limits the wait."""
        while self.live_processes():
            time.sleep(POLL_INTERVAL_S)

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the main process only."""
        self._process.send_signal(signum)

    def finish(self) -> RunOutput:
        """Wait until the main process exits, and return its output."""
        return RunOutput(*self._process.communicate())

    def kill_all(self) -> None:
        """Kill the remaining processes of the run."""
        for process in self.live_processes():
            with contextlib.suppress(psutil.Error):
                process.kill()
        self._process.wait()


def set_dispositions(dispositions: SignalDispositions) -> None:
    """Set the signal dispositions of this process, which the program that it executes next inherits."""
    for signum, disposition in dispositions.items():
        signal.signal(signum, disposition)


@contextlib.contextmanager
def start_scale(
    *args: str, dispositions: SignalDispositions = UNCHANGED_DISPOSITIONS
) -> Iterator[ScaleProcess]:
    """Start a run with these signal dispositions; kill its remaining processes when the context ends."""
    run = ScaleProcess(*args, dispositions=dispositions)
    try:
        yield run
    finally:
        run.kill_all()


def run_to_completion(folder: Path, *args: str) -> CompletedRun:
    """Run a scenario to its end; check that it succeeds and that all its processes have exited."""
    result_file = folder / "result.json"
    with start_scale(*args, "--json", str(result_file)) as run:
        output = run.finish()
        assert run.exit_status == 0, output.stderr
        assert not run.live_processes()
    return CompletedRun(json.loads(result_file.read_text()), output.stdout)
