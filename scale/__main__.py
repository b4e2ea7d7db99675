"""`python -m scale`: what the gateway's control work costs at the sizes of a large fleet."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

import click
from rich.console import Console

from . import control, control_report, fleet, fleet_report, machine, quickstart
from .checkout import resolve_checkout
from .errors import RunError, UsageError
from .result import Result, ResultFile

ResultPrinter = Callable[[Console, Result], None]
"""Prints the result of a scenario for people."""

EXIT_RUN_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130

INTERRUPT_SIGNALS = (signal.SIGINT, signal.SIGTERM)
"""Signals that end a run early, in order and with all its processes."""

PIPE_COLUMNS = 150
"""Width of a table that goes to a file or a pipe."""

MAX_NUMBER = 1e9
"""Upper bound of the numbers in an option's list."""


class Scenario(Protocol):
    """What a command runs."""

    def check(self) -> None:
        """Raise UsageError for what this machine has no room for."""

    async def run(self, progress: Console) -> Result:
        """Measure; raise RunError where a process fails."""


class NumberList(click.ParamType[tuple[float, ...]]):
    """An option's type: numbers with commas between them."""

    name = "N,N,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[float, ...]:
        """Return the numbers; fail the command line where there is anything else."""
        if isinstance(value, tuple):
            return value
        try:
            numbers = tuple(float(item) for item in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of numbers with commas between", param, ctx)
        if not all(0 <= number < MAX_NUMBER for number in numbers):
            self.fail(f"{value!r} holds a number out of range", param, ctx)
        return numbers


def common_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that all scenarios have."""
    options = [
        click.option("--seed", type=int, default=1, show_default=True, help="of all chance"),
        click.option("--json", "json_file", metavar="FILE", help="write the result here as well"),
        click.option(
            "--stall",
            type=click.FloatRange(0, 5_000),
            default=0.0,
            metavar="MS",
            help="hold the discovery stand-in up for so long while measured: shows what a late run gives",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def program_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the option of scenarios that measure several checkouts in one run."""
    return click.option(
        "--program",
        multiple=True,
        default=(".",),
        metavar="DIR",
        help="a checkout of the program; give it again to compare several",
    )(command)


def resolve_checkouts(folders: tuple[str, ...]) -> tuple[str, ...]:
    """Return the absolute path of each checkout, once.

    Raises:
        UsageError: a folder holds no program.
    """
    return tuple(dict.fromkeys(str(resolve_checkout(folder)) for folder in folders))


def parse_sizes(numbers: tuple[float, ...], option: str) -> tuple[int, ...]:
    """Return the distinct sizes that an option names.

    Raises:
        UsageError: one is no size.
    """
    if not numbers or any(number < 1 or number != int(number) for number in numbers):
        raise UsageError(f"{option}: sizes are whole numbers from 1 on")
    return tuple(dict.fromkeys(map(int, numbers)))


async def run_interruptibly(scenario: Scenario, progress: Console) -> Result:
    """Run a scenario until it is complete or a signal cancels it; all its processes have exited either way.

    The handlers replace the inherited dispositions: a shell without job control starts background jobs with
    SIGINT ignored, and asyncio's own handler leaves an ignored SIGINT ignored.
    """
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signum in INTERRUPT_SIGNALS:
        loop.add_signal_handler(signum, task.cancel)
    return await scenario.run(progress)


def run_scenario(scenario: Scenario, print_result: ResultPrinter, json_file: str | None) -> None:
    """Check and run a scenario, write its JSON and print its result."""
    scenario.check()
    file = ResultFile(json_file)
    progress = Console(stderr=True, highlight=False)
    result = asyncio.run(run_interruptibly(scenario, progress))
    file.write(result)
    output = Console(highlight=False)
    if not output.is_terminal:
        output = Console(highlight=False, width=PIPE_COLUMNS)
    print_result(output, result)


@click.group(context_settings={"show_default": True, "max_content_width": 110})
def cli() -> None:
    """Scale runs of the gateway: control work at the sizes of a large fleet, on loopback sockets only."""


@cli.command("quickstart")
@click.option("--gateways", type=click.IntRange(1), default=3, help="real ones, a process each")
@click.option("--backends", type=click.IntRange(1), default=6)
@click.option("--customers", type=click.IntRange(1), default=30)
@click.option("--rate", type=click.FloatRange(0, min_open=True), default=200.0, help="requests a second")
@click.option("--seconds", type=click.FloatRange(0, 600, min_open=True), default=5.0)
@click.option("--program", default=".", metavar="DIR", help="a checkout of the program")
@common_options
def quickstart_command(json_file: str | None, program: str, **asked: Any) -> None:
    """A few real gateways under load: what was served, refused and failed, and how fast."""
    scenario = quickstart.Quickstart(program=str(resolve_checkout(program)), **asked)
    run_scenario(scenario, quickstart.print_result, json_file)


@cli.command("control")
@click.option("--backends", type=NumberList(), default="200,2000,10000,39000", help="sizes of the list")
@click.option(
    "--changes", type=NumberList(), default="0,10,100", help="changes a second, in times of even work"
)
@click.option("--customers", type=NumberList(), default="300000", help="of the whole fleet, likewise")
@click.option("--requests", type=click.FloatRange(0, 2_000), default=50.0, help="a second, with customers")
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="gateways of the whole fleet")
@click.option("--spread", type=click.IntRange(1), default=30, help="gateways that serve a customer")
@click.option("--alone", type=click.IntRange(2, 10_000), default=32, help="changes that come one at a time")
@click.option("--burst", type=click.IntRange(1, 100_000), default=5_000, help="changes")
@click.option("--steady", type=click.FloatRange(0.1, 600), default=2.0, help="seconds of each even work")
@click.option(
    "--patience",
    type=click.FloatRange(1, 1_200),
    default=120.0,
    help="seconds for a burst of single messages",
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3)
@program_option
@common_options
def control_command(
    json_file: str | None,
    program: tuple[str, ...],
    backends: tuple[float, ...],
    customers: tuple[float, ...],
    **asked: Any,
) -> None:
    """One gateway's control work by size of list: processor time, hold-ups of the loop, memory and bytes."""
    scenario = control.Control(
        backends=parse_sizes(backends, "--backends"),
        customers=tuple(map(int, customers)),
        programs=resolve_checkouts(program),
        **asked,
    )
    run_scenario(scenario, control_report.print_result, json_file)


@cli.command("fleet")
@click.option("--hollow", type=click.IntRange(1), default=40, help="gateways without clients")
@click.option("--processes", type=click.IntRange(1, machine.MAX_PROCESSES), default=4, help="that hold them")
@click.option("--real", type=click.IntRange(0), default=2, help="gateways, a process each")
@click.option("--backends", type=click.IntRange(2), default=2_000, help="size of the list")
@click.option("--changes", type=click.FloatRange(0.1, 10_000), default=10.0, help="a second")
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=5.0, help="of each part")
@click.option("--bursts", type=NumberList(), default="300,5000", help="changes told in one message")
@click.option(
    "--window", type=click.FloatRange(0.5, 60), default=1.0, help="seconds of requests round a burst"
)
@click.option("--customers", type=NumberList(), default="30000,300000", help="of the whole fleet")
@click.option("--spread", type=NumberList(), default="3,30", help="gateways that serve a customer")
@click.option("--requests", type=click.FloatRange(0.1, 2_000), default=20.0, help="a second, each hollow one")
@click.option(
    "--rate", type=click.FloatRange(0.1, 20_000), default=300.0, help="requests a second, all real ones"
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="gateways of the whole fleet")
@click.option(
    "--patience", type=click.FloatRange(1, 600), default=30.0, help="seconds for a change to be in force"
)
@program_option
@common_options
def fleet_command(
    json_file: str | None,
    program: tuple[str, ...],
    bursts: tuple[float, ...],
    customers: tuple[float, ...],
    spread: tuple[float, ...],
    **asked: Any,
) -> None:
    """Many hollow gateways and a few real ones: how soon changes are in force, and what they cost."""
    scenario = fleet.Fleet(
        bursts=parse_sizes(bursts, "--bursts"),
        customers=parse_sizes(customers, "--customers"),
        spread=parse_sizes(spread, "--spread"),
        programs=resolve_checkouts(program),
        **asked,
    )
    run_scenario(scenario, fleet_report.print_result, json_file)


def main() -> int:
    """Run the command line; return its exit status."""
    try:
        cli.main(prog_name="python -m scale", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except UsageError as error:
        print(f"scale: {error}", file=sys.stderr)
        return EXIT_USAGE
    except RunError as error:
        print(f"scale: the run failed: {error}", file=sys.stderr)
        return EXIT_RUN_FAILED
    except (click.Abort, KeyboardInterrupt, asyncio.CancelledError):
        print("scale: interrupted, all processes have ended", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
