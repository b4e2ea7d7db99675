"""Runs a scenario until it is complete or interrupted, and writes and prints its result."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

from rich.console import Console

from .result import Result, ResultFile

ResultPrinter = Callable[[Console, Result], None]
"""Function that prints the result of a scenario to a console."""

INTERRUPT_SIGNALS = (signal.SIGINT, signal.SIGTERM)
"""Signals that interrupt a run, which then stops all its processes."""

NON_TERMINAL_WIDTH = 150
"""Width of the output in columns if it goes to a file or a pipe."""


class Scenario(Protocol):
    """The interface of a scenario that a command runs."""

    def check(self) -> None:
        """Raise UsageError if the sizes need more resources than a run may use."""

    async def run(self, progress: Console) -> Result:
        """Measure and return the result; raise RunError if a process fails."""


async def run_interruptibly(scenario: Scenario, progress: Console) -> Result:
    """Run a scenario until it is complete or a signal cancels it; its processes have all exited on return.

    The signal handlers replace the inherited dispositions: a shell without job control starts background
    jobs with SIGINT ignored, and asyncio's own handler leaves an ignored SIGINT ignored.
    """
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signum in INTERRUPT_SIGNALS:
        loop.add_signal_handler(signum, task.cancel)
    return await scenario.run(progress)


def run_scenario(scenario: Scenario, print_result: ResultPrinter, json_file: str | None) -> None:
    """Check and run a scenario, write its JSON file and print its result."""
    scenario.check()
    result_file = ResultFile(json_file)
    progress = Console(stderr=True, highlight=False)
    result = asyncio.run(run_interruptibly(scenario, progress))
    result_file.write(result)
    output = Console(highlight=False)
    if not output.is_terminal:
        output = Console(highlight=False, width=NON_TERMINAL_WIDTH)
    print_result(output, result)
