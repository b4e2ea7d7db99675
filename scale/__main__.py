"""`python -m scale`: what the gateway's control work costs at the sizes of a large fleet."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import click

from . import control_report, fleet_report, machine, quickstart
from .command_options import NumberList, common_options, parse_sizes, program_option, resolve_checkouts
from .control import ControlScenario
from .errors import RunError, UsageError
from .fleet import FleetScenario
from .runner import run_scenario

EXIT_RUN_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


@click.group(context_settings={"show_default": True, "max_content_width": 110})
def cli() -> None:
    """Scale runs of the gateway: control work at the sizes of a large fleet, on loopback sockets only."""


@cli.command("quickstart")
@click.option("--gateways", type=click.IntRange(1), default=3, help="Real gateways, each in its own process.")
@click.option("--backends", type=click.IntRange(1), default=6, help="Backends in the endpoint list.")
@click.option("--customers", type=click.IntRange(1), default=30, help="Customers of all gateways together.")
@click.option(
    "--rate",
    "request_rate",
    type=click.FloatRange(0, min_open=True),
    default=200.0,
    help="Requests per second, over all gateways.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0, 600, min_open=True),
    default=5.0,
    help="Duration of the load, in seconds.",
)
@click.option("--program", default=".", metavar="DIR", help="Checkout of the program to run.")
@common_options
def quickstart_command(json_file: str | None, program: str, **options: Any) -> None:
    """A few real gateways under load: requests served, rejected and failed, and their latency."""
    scenario = quickstart.QuickstartScenario(programs=resolve_checkouts((program,)), **options)
    run_scenario(scenario, quickstart.print_result, json_file)


@cli.command("control")
@click.option(
    "--backends",
    type=NumberList(),
    default="200,2000,10000,39000",
    help="Sizes of the endpoint list to measure.",
)
@click.option(
    "--changes",
    "change_rates",
    type=NumberList(),
    default="0,10,100",
    help="Endpoint changes per second, one steady phase for each value.",
)
@click.option(
    "--customers",
    type=NumberList(),
    default="300000",
    help="Customers of the whole fleet, one steady phase for each value.",
)
@click.option(
    "--requests",
    "request_rate",
    type=click.FloatRange(0, 2_000),
    default=50.0,
    help="Requests per second in the steady phases with customers.",
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="Gateways of the whole fleet.")
@click.option(
    "--gateways-per-customer", type=click.IntRange(1), default=30, help="Gateways that serve each customer."
)
@click.option(
    "--single-changes",
    type=click.IntRange(2, 10_000),
    default=32,
    help="Number of changes announced one at a time.",
)
@click.option(
    "--burst",
    "burst_size",
    type=click.IntRange(1, 100_000),
    default=5_000,
    help="Number of changes in each burst.",
)
@click.option(
    "--steady",
    "steady_s",
    type=click.FloatRange(0.1, 600),
    default=2.0,
    help="Duration of each steady phase, in seconds.",
)
@click.option(
    "--timeout",
    "messages_timeout_s",
    type=click.FloatRange(1, 1_200),
    default=120.0,
    help="Time-out of the burst of single messages, in seconds.",
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3, help="How often each figure is measured.")
@program_option
@common_options
def control_command(
    json_file: str | None,
    programs: tuple[str, ...],
    backends: tuple[float, ...],
    customers: tuple[float, ...],
    **options: Any,
) -> None:
    """One gateway's control work by size of list: processor time, event-loop stalls, memory and bytes."""
    scenario = ControlScenario(
        list_sizes=parse_sizes(backends, "--backends"),
        customers=tuple(map(int, customers)),
        programs=resolve_checkouts(programs),
        **options,
    )
    run_scenario(scenario, control_report.print_result, json_file)


@cli.command("fleet")
@click.option(
    "--hollow", "hollow_gateways", type=click.IntRange(1), default=40, help="Gateways without clients."
)
@click.option(
    "--processes",
    "hollow_processes",
    type=click.IntRange(1, machine.MAX_PROCESSES),
    default=4,
    help="Processes that hold the hollow gateways.",
)
@click.option(
    "--real",
    "real_gateways",
    type=click.IntRange(0),
    default=2,
    help="Gateways with clients, each in its own process.",
)
@click.option("--backends", type=click.IntRange(2), default=2_000, help="Backends in the endpoint list.")
@click.option(
    "--changes",
    "change_rate",
    type=click.FloatRange(0.1, 10_000),
    default=10.0,
    help="Endpoint changes per second in the steady phase.",
)
@click.option(
    "--seconds",
    "phase_s",
    type=click.FloatRange(0.1, 600),
    default=5.0,
    help="Duration of each phase other than the bursts, in seconds.",
)
@click.option(
    "--bursts",
    type=NumberList(),
    default="300,5000",
    help="Numbers of changes to announce in one message, one burst for each value.",
)
@click.option(
    "--window",
    "burst_window_s",
    type=click.FloatRange(0.5, 60),
    default=1.0,
    help="Duration of the requests around each burst, in seconds.",
)
@click.option(
    "--customers", type=NumberList(), default="30000,300000", help="Customers of the whole fleet to measure."
)
@click.option(
    "--gateways-per-customer",
    type=NumberList(),
    default="3,30",
    help="Gateways that serve each customer, measured with each number of customers.",
)
@click.option(
    "--requests",
    "hollow_request_rate",
    type=click.FloatRange(0.1, 2_000),
    default=20.0,
    help="Requests per second of each hollow gateway.",
)
@click.option(
    "--rate",
    "real_request_rate",
    type=click.FloatRange(0.1, 20_000),
    default=300.0,
    help="Requests per second, over all real gateways.",
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="Gateways of the whole fleet.")
@click.option(
    "--timeout",
    "change_timeout_s",
    type=click.FloatRange(1, 600),
    default=30.0,
    help="Time-out for a change to be applied by all hollow gateways, in seconds.",
)
@program_option
@common_options
def fleet_command(
    json_file: str | None,
    programs: tuple[str, ...],
    bursts: tuple[float, ...],
    customers: tuple[float, ...],
    gateways_per_customer: tuple[float, ...],
    **options: Any,
) -> None:
    """Many hollow gateways and a few real ones: how soon changes are applied, and what they cost."""
    scenario = FleetScenario(
        burst_sizes=parse_sizes(bursts, "--bursts"),
        customers=parse_sizes(customers, "--customers"),
        gateways_per_customer=parse_sizes(gateways_per_customer, "--gateways-per-customer"),
        programs=resolve_checkouts(programs),
        **options,
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
        print("scale: interrupted, all processes have exited", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
