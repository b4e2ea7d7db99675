"""Option types of the command line, and options that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from .checkout import resolve_checkout
from .errors import UsageError

MAX_NUMBER = 1e9
"""Upper bound, exclusive, of the numbers in a list option."""

MAX_STALL_MS = 5_000

Command = Callable[..., None]


class NumberList(click.ParamType[tuple[float, ...]]):
    """The type of an option whose value is a list of numbers separated by commas."""

    name = "N,N,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[float, ...]:
        """Return the numbers; reject a value that is not a list of numbers in range."""
        if isinstance(value, tuple):
            return value
        try:
            numbers = tuple(float(item) for item in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of numbers separated by commas", param, ctx)
        if not all(0 <= number < MAX_NUMBER for number in numbers):
            self.fail(f"{value!r} contains a number that is negative or not below {MAX_NUMBER:g}", param, ctx)
        return numbers


def common_options(command: Command) -> Command:
    """Add the options that all commands have."""
    options = [
        click.option("--seed", type=int, default=1, help="Seed of the run's random numbers."),
        click.option("--json", "json_file", metavar="FILE", help="Also write the result to this JSON file."),
        click.option(
            "--stall",
            "stall_ms",
            type=click.FloatRange(0, MAX_STALL_MS),
            default=0.0,
            metavar="MS",
            help="Duration for which to stall the fake discovery in each measured phase, in milliseconds."
            " A stall shows what a run prints if its fakes were late.",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command


def program_option(command: Command) -> Command:
    """Add the option `--program` of commands that can measure several checkouts in one run."""
    return click.option(
        "--program",
        "programs",
        multiple=True,
        default=(".",),
        metavar="DIR",
        help="Checkout of the program to measure; repeat the option to compare several.",
    )(command)


def resolve_checkouts(folders: tuple[str, ...]) -> tuple[str, ...]:
    """Return the absolute path of each checkout, without duplicates.

    Raises:
        UsageError: a folder is not a checkout of the program.
    """
    return tuple(dict.fromkeys(str(resolve_checkout(folder)) for folder in folders))


def parse_sizes(numbers: tuple[float, ...], option: str) -> tuple[int, ...]:
    """Return the distinct sizes in the value of an option.

    Raises:
        UsageError: there is no size, or one is not a whole number of at least 1.
    """
    if not numbers or any(number < 1 or number != int(number) for number in numbers):
        given = ",".join(f"{number:g}" for number in numbers)
        raise UsageError(f"{option} {given}: sizes must be whole numbers of at least 1")
    return tuple(dict.fromkeys(map(int, numbers)))
