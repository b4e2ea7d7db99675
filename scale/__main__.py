"""The command line `python -m scale`, which measures the gateway's control work at large fleet sizes."""

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
    """Measure the gateway's control work at large fleet sizes; all sockets are on the loopback address."""


@cli.command("quickstart")
@click.option(
    "--gateways", type=click.IntRange(1), default=3, help="Number of real gateways, each in its own process."
)
@click.option(
    "--backends", type=click.IntRange(1), default=6, help="Number of backends in the endpoint list."
)
@click.option(
    "--customers", type=click.IntRange(1), default=30, help="Number of customers, over all gateways."
)
@click.option(
    "--rate",
    "request_rate",
    type=click.FloatRange(0, min_open=True),
    default=200.0,
    help="Request rate over all gateways, in requests per second.",
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
    """Send load to a few real gateways; count served, rejected and failed requests, and measure latency."""
    scenario = quickstart.QuickstartScenario(programs=resolve_checkouts((program,)), **options)
    run_scenario(scenario, quickstart.print_result, json_file)


@cli.command("control")
@click.option(
    "--backends",
    type=NumberList(),
    default="200,2000,10000,39000",
    help="Sizes of the endpoint list to measure, in backends.",
)
@click.option(
    "--changes",
    "change_rates",
    type=NumberList(),
    default="0,10,100",
    help="Rates of endpoint changes to measure, in changes per second; each value has its own steady phase.",
)
@click.option(
    "--customers",
    type=NumberList(),
    default="300000",
    help="Numbers of customers in the whole fleet; each value other than 0 has its own steady phase.",
)
@click.option(
    "--requests",
    "request_rate",
    type=click.FloatRange(0, 2_000),
    default=50.0,
    help="Request rate in the steady phases with customers, in requests per second.",
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="Number of gateways in the whole fleet.")
@click.option(
    "--gateways-per-customer",
    type=click.IntRange(1),
    default=30,
    help="Number of gateways that serve each customer.",
)
@click.option(
    "--single-changes",
    type=click.IntRange(2, 10_000),
    default=32,
    help="Number of endpoint changes announced one at a time.",
)
@click.option(
    "--burst",
    "burst_size",
    type=click.IntRange(1, 100_000),
    default=5_000,
    help="Number of endpoint changes in each burst.",
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
    help="Timeout for applying the burst of messages with one change each, in seconds.",
)
@click.option(
    "--repeats", type=click.IntRange(1, 100), default=3, help="Number of measurements of each figure."
)
@program_option
@common_options
def control_command(
    json_file: str | None,
    programs: tuple[str, ...],
    backends: tuple[float, ...],
    customers: tuple[float, ...],
    **options: Any,
) -> None:
    """Measure one gateway's processor time, event-loop stalls, memory and traffic by endpoint list size."""
    scenario = ControlScenario(
        list_sizes=parse_sizes(backends, "--backends"),
        customers=tuple(map(int, customers)),
        programs=resolve_checkouts(programs),
        **options,
    )
    run_scenario(scenario, control_report.print_result, json_file)


@cli.command("fleet")
@click.option(
    "--hollow",
    "hollow_gateways",
    type=click.IntRange(1),
    default=40,
    help="Number of hollow gateways, which have no clients.",
)
@click.option(
    "--processes",
    "hollow_processes",
    type=click.IntRange(1, machine.MAX_PROCESSES),
    default=4,
    help="Number of processes that run the hollow gateways.",
)
@click.option(
    "--real",
    "real_gateways",
    type=click.IntRange(0),
    default=2,
    help="Number of real gateways, which have clients, each in its own process.",
)
@click.option(
    "--backends", type=click.IntRange(2), default=2_000, help="Number of backends in the endpoint list."
)
@click.option(
    "--changes",
    "change_rate",
    type=click.FloatRange(0.1, 10_000),
    default=10.0,
    help="Rate of endpoint changes in the steady phase, in changes per second.",
)
@click.option(
    "--seconds",
    "phase_s",
    type=click.FloatRange(0.1, 600),
    default=5.0,
    help="Duration of each phase other than a burst, in seconds.",
)
@click.option(
    "--bursts",
    type=NumberList(),
    default="300,5000",
    help="Burst sizes to measure, in endpoint changes; each burst is announced in one message.",
)
@click.option(
    "--window",
    "burst_window_s",
    type=click.FloatRange(0.5, 60),
    default=1.0,
    help="Duration of the client load around each burst, in seconds.",
)
@click.option(
    "--customers",
    type=NumberList(),
    default="30000,300000",
    help="Numbers of customers in the whole fleet to measure.",
)
@click.option(
    "--gateways-per-customer",
    type=NumberList(),
    default="3,30",
    help="Numbers of gateways that serve each customer; each is measured with each number of customers.",
)
@click.option(
    "--requests",
    "hollow_request_rate",
    type=click.FloatRange(0.1, 2_000),
    default=20.0,
    help="Request rate of each hollow gateway, in requests per second.",
)
@click.option(
    "--rate",
    "real_request_rate",
    type=click.FloatRange(0.1, 20_000),
    default=300.0,
    help="Request rate over all real gateways, in requests per second.",
)
@click.option("--fleet", type=click.IntRange(1), default=3_700, help="Number of gateways in the whole fleet.")
@click.option(
    "--timeout",
    "change_timeout_s",
    type=click.FloatRange(1, 600),
    default=30.0,
    help="Timeout for all hollow gateways to apply a change, in seconds.",
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
    """Measure how soon a fleet of hollow and real gateways applies endpoint changes, and at what cost."""
    scenario = FleetScenario(
        burst_sizes=parse_sizes(bursts, "--bursts"),
        customers=parse_sizes(customers, "--customers"),
        gateways_per_customer=parse_sizes(gateways_per_customer, "--gateways-per-customer"),
        programs=resolve_checkouts(programs),
        **options,
    )
    run_scenario(scenario, fleet_report.print_result, json_file)


def main() -> int:
    """Run the command line and return the exit status."""
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
