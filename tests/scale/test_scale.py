"""Tests of complete scale runs: their results, reported errors, and the exit of all their processes."""

from __future__ import annotations

import shlex
import shutil
import signal
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.scale.scale_process import ROOT, CompletedRun, run_to_completion, start_scale

FLEET = shlex.split(
    "fleet --hollow 4 --processes 2 --real 1 --backends 40 --seconds 0.5 --bursts 20 --window 0.5"
    " --customers 1000 --gateways-per-customer 3,30 --fleet 100 --rate 50"
)
CONTROL = shlex.split(
    "control --backends 40 --customers 1000 --fleet 10 --single-changes 2 --burst 5 --steady 0.2 --repeats 1"
    " --changes 10"
)
LONG_QUICKSTART = ("quickstart", "--seconds", "600")

QUICKSTART_PROCESSES = 9
"""Processes of a run: the main process, three of fakes, the clients, the launcher and three gateways."""

SLOWER_DISPATCHER = """

apply_endpoints = Dispatcher.on_endpoints


def apply_slowly(*args, **kwargs):
    sum(range(2_000_000))
    apply_endpoints(*args, **kwargs)


Dispatcher.on_endpoints = apply_slowly
"""


@pytest.fixture(scope="module")
def fleet_run(tmp_path_factory: pytest.TempPathFactory) -> CompletedRun:
    return run_to_completion(tmp_path_factory.mktemp("fleet"), *FLEET)


@pytest.fixture(scope="module")
def fleet_figures(fleet_run: CompletedRun) -> dict[str, Any]:
    (measured,) = fleet_run.result["measured"].values()
    assert isinstance(measured, dict)
    return measured


def test_each_phase_of_a_fleet_with_changes_measures_their_propagation(fleet_figures: dict[str, Any]) -> None:
    assert set(fleet_figures["propagation"]) == {"steady changes", "burst of 20"}


@pytest.mark.parametrize("phase", ["steady changes", "burst of 20"])
def test_all_gateways_of_a_fleet_apply_each_change(fleet_figures: dict[str, Any], phase: str) -> None:
    propagation = fleet_figures["propagation"][phase]

    assert propagation["gateways"] == 4
    assert propagation["changes"] > 0
    assert propagation["missing"] == 0
    assert 0 < propagation["p50_ms"]["median"] <= propagation["max_ms"]["max"]


def test_a_fleet_serves_requests_in_all_phases(fleet_figures: dict[str, Any]) -> None:
    assert fleet_figures["requests"]
    assert all(phase["served"] > 0 for phase in fleet_figures["requests"].values())


def test_a_fleet_calls_the_counter_for_local_leases_and_for_shared_buckets(
    fleet_figures: dict[str, Any],
) -> None:
    leased, shared = fleet_figures["counter"].values()

    assert leased["calls_per_request"] > 0
    assert shared["calls_per_request"] > 0
    assert leased["served"] > 0
    assert shared["served"] > 0


def test_a_fleet_run_has_a_verdict_unless_its_fakes_were_late(fleet_run: CompletedRun) -> None:
    assert fleet_run.result["verdict"] in ("met", "not met", None)


def test_a_fleet_run_prints_percentiles_of_the_propagation(fleet_run: CompletedRun) -> None:
    assert "p99 of gateways" in fleet_run.stdout


def test_fakes_that_ran_late_give_no_verdict(tmp_path: Path) -> None:
    run = run_to_completion(tmp_path, *FLEET, "--stall", "400")

    (goals,) = run.result["goals"].values()
    assert goals[0]["is_met"] is not None
    assert run.result["verdict"] is None
    assert "ran late" in run.result["reason"]
    assert "No verdict" in run.stdout


class Comparison(NamedTuple):
    """A control run that measured this checkout and a slower one."""

    run: CompletedRun
    slower_checkout: Path

    def figures(self, checkout: Path) -> dict[str, Any]:
        """Return the figures of a checkout at the only list size of the run."""
        figures: dict[str, Any] = self.run.result["measured"][str(checkout)]["40"]
        return figures


@pytest.fixture(scope="module")
def comparison(tmp_path_factory: pytest.TempPathFactory) -> Comparison:
    folder = tmp_path_factory.mktemp("control")
    slower_checkout = copy_slower_checkout(folder / "other")
    run = run_to_completion(folder, *CONTROL, "--program", str(ROOT), "--program", str(slower_checkout))
    return Comparison(run, slower_checkout)


def copy_slower_checkout(checkout: Path) -> Path:
    """Copy the program to a new checkout, and make its dispatcher apply endpoint changes much more slowly."""
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "gateway", checkout / "gateway", ignore=ignored)
    dispatcher = checkout / "gateway" / "network" / "dispatcher" / "dispatcher.py"
    dispatcher.write_text(dispatcher.read_text() + SLOWER_DISPATCHER)
    return checkout


def test_one_run_tells_a_slower_checkout_from_a_faster_one(comparison: Comparison) -> None:
    faster = comparison.figures(ROOT)
    slower = comparison.figures(comparison.slower_checkout)

    assert faster["single_change_cpu_ms"]["median"] * 5 < slower["single_change_cpu_ms"]["median"]


def test_one_run_gives_two_checkouts_the_same_endpoint_list(comparison: Comparison) -> None:
    faster = comparison.figures(ROOT)
    slower = comparison.figures(comparison.slower_checkout)

    assert faster["start_bytes"]["median"] == slower["start_bytes"]["median"] > 0


def test_a_control_run_measures_stalls_of_a_burst_that_was_applied_in_time(comparison: Comparison) -> None:
    figures = comparison.figures(ROOT)

    assert figures["burst_stall_cpu_ms"]["median"] > 0
    assert not figures["is_lower_bound"]


def test_a_control_run_prints_a_column_for_each_checkout(comparison: Comparison) -> None:
    assert "40 A" in comparison.run.stdout
    assert "40 B" in comparison.run.stdout


def test_a_measured_checkout_is_not_written_to(comparison: Comparison) -> None:
    assert not list(comparison.slower_checkout.rglob("__pycache__"))


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (["no-such-scenario"], "No such command"),
        (["fleet", "--hollow", "3000", "--backends", "3000000"], "memory"),
        (["quickstart", "--gateways", "400"], "these sizes need"),
        (["fleet", "--hollow", "200", "--fleet", "100"], "more than the fleet"),
        (["control", "--backends", "200,x"], "not a list of numbers"),
        (["control", "--backends", "0"], "whole numbers"),
        (["quickstart", "--json", "/no/such/folder/result.json"], "cannot be written"),
        (["quickstart", "--json", "/"], "cannot be written"),
        (["quickstart", "--program", "/"], "not a checkout"),
        (["quickstart", "--seconds", "-1"], "--seconds"),
    ],
)
def test_what_cannot_be_run_is_reported_plainly(args: list[str], message: str) -> None:
    with start_scale(*args) as run:
        output = run.finish()

    assert run.exit_status == 2
    assert message in output.stderr
    assert "Traceback" not in output.stderr
    assert not output.stdout


@pytest.mark.parametrize("inherited", [signal.SIG_DFL, signal.SIG_IGN], ids=["default", "ignored"])
@pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM], ids=["SIGINT", "SIGTERM"])
def test_an_interrupted_run_leaves_no_process(signum: signal.Signals, inherited: signal.Handlers) -> None:
    with start_scale(*LONG_QUICKSTART, dispositions={signum: inherited}) as run:
        processes = run.wait_until_ready()
        run.send_signal(signum)
        output = run.finish()
        remaining = run.live_processes()

    assert len(processes) >= QUICKSTART_PROCESSES
    assert not remaining
    assert run.exit_status == 130
    assert "Traceback" not in output.stderr


def test_processes_end_with_a_parent_that_was_killed() -> None:
    with start_scale(*LONG_QUICKSTART) as run:
        run.wait_until_ready()
        run.send_signal(signal.SIGKILL)
        run.wait_until_all_exit()


def test_a_gateway_that_cannot_start_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "gateway").mkdir()
    (tmp_path / "gateway" / "__init__.py").touch()
    (tmp_path / "gateway" / "__main__.py").write_text("raise SystemExit('not today')")

    with start_scale("quickstart", "--program", str(tmp_path)) as run:
        output = run.finish()
        remaining = run.live_processes()

    assert not remaining
    assert run.exit_status == 1
    assert "exited before it listened, last log line: not today" in output.stderr
    assert "Traceback" not in output.stderr
