"""Option types of the command line, and the options that scenarios share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from .checkout import resolve_checkout
from .errors import UsageError

MAX_NUMBER = 1e9
"""Upper bound of the numbers in an option's list."""

MAX_STALL_MS = 5_000

Command = Callable[..., None]


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


def common_options(command: Command) -> Command:
    """Add the options that all scenarios have."""
    options = [
        click.option("--seed", type=int, default=1, help="Seed of the run's random numbers."),
        click.option("--json", "json_file", metavar="FILE", help="Also write the result to this JSON file."),
        click.option(
            "--stall",
            "stall_ms",
            type=click.FloatRange(0, MAX_STALL_MS),
            default=0.0,
            metavar="MS",
            help="Stall the fake discovery for this long in each measured phase, in milliseconds;"
            " shows what a run prints whose fakes were late.",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def program_option(command: Command) -> Command:
    """Add the option of scenarios that measure several checkouts in one run."""
    return click.option(
        "--program",
        "programs",
        multiple=True,
        default=(".",),
        metavar="DIR",
        help="Checkout of the program to measure; repeat the option to compare several.",
    )(command)


def resolve_checkouts(folders: tuple[str, ...]) -> tuple[str, ...]:
    """Return the absolute path of each checkout, without repetitions.

    Raises:
        UsageError: a folder holds no program.
    """
    return tuple(dict.fromkeys(str(resolve_checkout(folder)) for folder in folders))


def parse_sizes(numbers: tuple[float, ...], option: str) -> tuple[int, ...]:
    """Return the distinct sizes that an option names.

    Raises:
        UsageError: one is not a whole number from 1 on.
    """
    if not numbers or any(number < 1 or number != int(number) for number in numbers):
        given = ",".join(f"{number:g}" for number in numbers)
        raise UsageError(f"{option} {given}: sizes are whole numbers from 1 on")
    return tuple(dict.fromkeys(map(int, numbers)))
