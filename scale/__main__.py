"""`python -m scale`: what the gateway's control work costs at the sizes of a large fleet."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click
from rich.console import Console

from . import control, fleet, machine, quickstart
from .errors import RunProblem, UsageProblem
from .program import checkout
from .report import Result, ResultFile

Printer = Callable[[Console, Result], None]
INTERRUPTED = 130
WIDE = 150  # columns of a table that goes to a file or a pipe


class Numbers(click.ParamType[tuple[float, ...]]):
    """Numbers with commas between them."""

    name = "N,N,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[float, ...]:
        if isinstance(value, tuple):
            return value
        try:
            numbers = tuple(float(item) for item in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of numbers with commas between", param, ctx)
        if not all(0 <= number < 1e9 for number in numbers):
            self.fail(f"{value!r} holds a number out of range", param, ctx)
        return numbers


def common(command: Callable[..., None]) -> Callable[..., None]:
    """The options that all scenarios have."""
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


def programs(command: Callable[..., None]) -> Callable[..., None]:
    """The option of scenarios that measure several checkouts in one run."""
    return click.option(
        "--program",
        multiple=True,
        default=(".",),
        metavar="DIR",
        help="a checkout of the program; give it again to compare several",
    )(command)


def checkouts(folders: tuple[str, ...]) -> tuple[str, ...]:
    """Each checkout once, as whole paths. UsageProblem where one holds no program."""
    return tuple(dict.fromkeys(str(checkout(folder)) for folder in folders))


def whole(numbers: tuple[float, ...], option: str) -> tuple[int, ...]:
    """UsageProblem for sizes that are none."""
    if not numbers or any(number < 1 or number != int(number) for number in numbers):
        raise UsageProblem(f"{option}: sizes are whole numbers from 1 on")
    return tuple(dict.fromkeys(map(int, numbers)))


async def interruptible(run: Coroutine[Any, Any, Result]) -> Result:
    """SIGTERM ends a run as Ctrl-C does: in order, with all its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run


def carry_out(
    check: Callable[[], None],
    run: Callable[[Console], Coroutine[Any, Any, Result]],
    printer: Printer,
    json_file: str | None,
) -> None:
    check()
    file = ResultFile(json_file)
    result = asyncio.run(interruptible(run(Console(stderr=True, highlight=False))))
    file.write(result)
    out = Console(highlight=False)
    printer(out if out.is_terminal else Console(highlight=False, width=WIDE), result)


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
@common
def quickstart_command(json_file: str | None, program: str, **asked: Any) -> None:
    """A few real gateways under load: what was served, refused and failed, and how fast."""
    scenario = quickstart.Quickstart(program=str(checkout(program)), **asked)
    carry_out(scenario.check, scenario.run, quickstart.print_result, json_file)


@cli.command("control")
@click.option("--backends", type=Numbers(), default="200,2000,10000,39000", help="sizes of the list")
@click.option("--changes", type=Numbers(), default="0,10,100", help="changes a second, in times of even work")
@click.option("--customers", type=Numbers(), default="300000", help="of the whole fleet, likewise")
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
@programs
@common
def control_command(
    json_file: str | None,
    program: tuple[str, ...],
    backends: tuple[float, ...],
    customers: tuple[float, ...],
    **asked: Any,
) -> None:
    """One gateway's control work by size of list: processor time, hold-ups of the loop, memory and bytes."""
    scenario = control.Control(
        backends=whole(backends, "--backends"),
        customers=tuple(map(int, customers)),
        programs=checkouts(program),
        **asked,
    )
    carry_out(scenario.check, scenario.run, control.print_result, json_file)


@cli.command("fleet")
@click.option("--hollow", type=click.IntRange(1), default=40, help="gateways without clients")
@click.option("--processes", type=click.IntRange(1, machine.MOST_PROCESSES), default=4, help="that hold them")
@click.option("--real", type=click.IntRange(0), default=2, help="gateways, a process each")
@click.option("--backends", type=click.IntRange(2), default=2_000, help="size of the list")
@click.option("--changes", type=click.FloatRange(0.1, 10_000), default=10.0, help="a second")
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=5.0, help="of each part")
@click.option("--bursts", type=Numbers(), default="300,5000", help="changes told in one message")
@click.option(
    "--window", type=click.FloatRange(0.5, 60), default=1.0, help="seconds of requests round a burst"
)
@click.option("--customers", type=Numbers(), default="30000,300000", help="of the whole fleet")
@click.option("--spread", type=Numbers(), default="3,30", help="gateways that serve a customer")
@click.option("--requests", type=click.FloatRange(0.1, 2_000), default=20.0, help="a second, each hollow one")
@click.option(
    "--rate", type=click.FloatRange(0.1, 20_000), default=300.0, help="requests a second, all real ones"
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="gateways of the whole fleet")
@click.option(
    "--patience", type=click.FloatRange(1, 600), default=30.0, help="seconds for a change to be in force"
)
@programs
@common
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
        bursts=whole(bursts, "--bursts"),
        customers=whole(customers, "--customers"),
        spread=whole(spread, "--spread"),
        programs=checkouts(program),
        **asked,
    )
    carry_out(scenario.check, scenario.run, fleet.print_result, json_file)


def main() -> int:
    """0 once a run is done, 1 if it failed, 2 for what cannot be run, 130 if it was interrupted."""
    try:
        cli.main(prog_name="python -m scale", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except UsageProblem as error:
        print(f"scale: {error}", file=sys.stderr)
        return 2
    except RunProblem as error:
        print(f"scale: the run failed: {error}", file=sys.stderr)
        return 1
    except (click.Abort, KeyboardInterrupt, asyncio.CancelledError):
        print("scale: interrupted, all processes have ended", file=sys.stderr)
        return INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
