"""The scale runs: what a run gives, what it rejects, and that no process of it is left."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import shutil
import signal
import subprocess
import sys
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import psutil
import pytest

from scale.customers import Customers
from scale.fakes.endpoint_list import SyntheticEndpointList
from scale.result import Goal, Result

ROOT = Path(__file__).parents[2]
FLEET = shlex.split(
    "fleet --hollow 4 --processes 2 --real 1 --backends 40 --seconds 0.5 --bursts 20 --window 0.5"
    " --customers 1000 --spread 3,30 --fleet 100 --rate 50"
)
CONTROL = shlex.split(
    "control --backends 40 --customers 1000 --fleet 10 --alone 2 --burst 5 --steady 0.2 --repeats 1"
    " --changes 10"
)
SLOWER_DISPATCHER = """

apply_endpoints = Dispatcher.on_endpoints


def apply_slowly(*args, **keywords):
    sum(range(2_000_000))
    apply_endpoints(*args, **keywords)


Dispatcher.on_endpoints = apply_slowly
"""


class ScaleProcess:
    """`python -m scale`, and the processes that bear its mark."""

    def __init__(self, *args: str) -> None:
        self.mark = uuid.uuid4().hex
        self.process = subprocess.Popen(
            [sys.executable, "-m", "scale", *args],
            cwd=ROOT,
            env={**os.environ, "SCALE_TEST_MARK": self.mark},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def living(self) -> list[psutil.Process]:
        """All processes of the run that live, however they came to be."""
        found = []
        for process in psutil.process_iter():
            with contextlib.suppress(psutil.Error):
                if process.environ().get("SCALE_TEST_MARK") == self.mark:
                    found.append(process)
        return [process for process in found if process.pid != os.getpid()]

    def wait_until_up(self) -> list[psutil.Process]:
        """Wait for the line that says that all is up; returns the processes."""
        assert self.process.stderr is not None
        assert any(line.startswith("all is up") for line in self.process.stderr)
        return self.living()

    def wait_until_gone(self) -> None:
        """Wait until nothing is left; the test's time limit ends a vain wait."""
        while self.living():
            time.sleep(0.02)

    def finish(self) -> tuple[str, str]:
        out, errors = self.process.communicate()
        return out, errors


@contextlib.contextmanager
def started(*args: str) -> Iterator[ScaleProcess]:
    run = ScaleProcess(*args)
    try:
        yield run
    finally:
        for process in run.living():
            with contextlib.suppress(psutil.Error):
                process.kill()
        run.process.wait()


def result_of(folder: Path, *args: str) -> tuple[dict[str, Any], str]:
    """A whole run's result and what it printed; nothing of it may be left at its end."""
    file = folder / "result.json"
    with started(*args, "--json", str(file)) as run:
        out, errors = run.finish()
        assert run.process.returncode == 0, errors
        assert not run.living()
    result: dict[str, Any] = json.loads(file.read_text())
    return result, out


def test_a_fleet_serves_and_all_gateways_apply_each_change(tmp_path: Path) -> None:
    result, output = result_of(tmp_path, *FLEET)

    (measured,) = result["measured"].values()
    assert set(measured["in_force"]) == {"even changes", "burst of 20"}
    for case in measured["in_force"].values():
        assert case["gateways"] == 4
        assert case["changes"] > 0
        assert case["missing"] == 0
        assert 0 < case["half_ms"]["median"] <= case["slowest_ms"]["max"]
    assert all(case["served"] > 0 for case in measured["requests"].values())
    leased, shared = measured["counter"].values()
    assert leased["calls_a_request"] > 0
    assert shared["calls_a_request"] > 0
    assert leased["served"] > 0
    assert shared["served"] > 0
    assert result["verdict"] in ("met", "not met", None)
    assert "at 99 in 100" in output


def test_fakes_that_ran_late_give_no_verdict(tmp_path: Path) -> None:
    result, output = result_of(tmp_path, *FLEET, "--stall", "400")

    (goals,) = result["goals"].values()
    assert goals[0]["met"] is not None
    assert result["verdict"] is None
    assert "ran late" in result["reason"]
    assert "No verdict" in output


@pytest.fixture
def slower_checkout(tmp_path: Path) -> Path:
    """A copy of the program that takes much longer over each change of the list."""
    checkout = tmp_path / "other"
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "gateway", checkout / "gateway", ignore=ignored)
    dispatcher = checkout / "gateway" / "network" / "dispatcher" / "dispatcher.py"
    dispatcher.write_text(dispatcher.read_text() + SLOWER_DISPATCHER)
    return checkout


def test_one_run_measures_two_checkouts(tmp_path: Path, slower_checkout: Path) -> None:
    programs = ["--program", str(ROOT), "--program", str(slower_checkout)]

    result, output = result_of(tmp_path, *CONTROL, *programs)

    here, there = (result["measured"][str(program)] for program in (ROOT, slower_checkout))
    assert here["40"]["one_cpu_ms"]["median"] * 5 < there["40"]["one_cpu_ms"]["median"]
    assert here["40"]["start_bytes"]["median"] == there["40"]["start_bytes"]["median"] > 0
    assert here["40"]["burst_hold_ms"]["median"] > 0
    assert not here["40"]["unfinished"]
    assert "40 A" in output
    assert "40 B" in output
    assert not list(slower_checkout.rglob("__pycache__"))  # a checkout that is measured is not written to


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
        (["quickstart", "--program", "/"], "no checkout"),
        (["quickstart", "--seconds", "-1"], "--seconds"),
    ],
)
def test_what_cannot_be_run_is_reported_plainly(args: list[str], message: str) -> None:
    with started(*args) as run:
        out, errors = run.finish()

    assert run.process.returncode == 2
    assert message in errors
    assert "Traceback" not in errors
    assert not out


@pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process(signum: signal.Signals) -> None:
    with started("quickstart", "--seconds", "600") as run:
        # The leading process, three of fakes, the clients, the launcher and its three gateways.
        assert len(run.wait_until_up()) >= 9
        run.process.send_signal(signum)
        _, errors = run.finish()
        assert not run.living()

    assert run.process.returncode == 130
    assert "Traceback" not in errors


def test_processes_end_with_a_parent_that_was_killed() -> None:
    with started("quickstart", "--seconds", "600") as run:
        run.wait_until_up()
        run.process.kill()
        run.wait_until_gone()


def test_a_gateway_that_cannot_start_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "gateway").mkdir()
    (tmp_path / "gateway" / "__init__.py").touch()
    (tmp_path / "gateway" / "__main__.py").write_text("raise SystemExit('not today')")

    with started("quickstart", "--program", str(tmp_path)) as run:
        _, errors = run.finish()
        assert not run.living()

    assert run.process.returncode == 1
    assert "a gateway ended at its start: not today" in errors
    assert "Traceback" not in errors


@pytest.mark.parametrize(
    ("measured", "p99_ms", "max_ms", "is_cut_short", "verdict"),
    [
        pytest.param(0.1, 1.0, 2.0, False, "met", id="at the bound"),
        pytest.param(0.11, 1.0, 2.0, False, "not met", id="over the bound"),
        pytest.param(0.05, 1.0, 2.0, True, "not met", id="took at least that"),
        pytest.param(None, 1.0, 2.0, False, None, id="not measured"),
        pytest.param(0.05, 20.1, 2.0, False, None, id="fakes often late"),
        pytest.param(0.05, 1.0, 251.0, False, None, id="fakes late once"),
    ],
)
def test_the_verdict_follows_goals_and_lateness(
    measured: float | None, p99_ms: float, max_ms: float, is_cut_short: bool, verdict: str | None
) -> None:
    result = Result("control", {}, {})
    result.goals["."] = [
        Goal("one change", "ms", 0.1, measured, is_cut_short),
        Goal("a list", "ms", 5.0, None),
    ]

    result.note_lag("discovery", {"p99_ms": p99_ms, "max_ms": max_ms})

    assert result.verdict() == verdict
    assert (result.verdict() is None) == bool(result.why_no_verdict())


def test_each_backend_changes_once_before_any_changes_again() -> None:
    endpoints = SyntheticEndpointList(10, [1], seed=1)

    first = endpoints.change(100)
    endpoints.change(9)
    marker = endpoints.change_marker()

    event = json.loads(first.line)
    assert [entry["host"] for entry in event["hosts"]] == first.hosts
    assert len(set(first.hosts)) == 9
    assert event["seq"] == 2
    assert not event["whole"]
    assert {entry["health"] for entry in event["hosts"]} == {"draining"}
    assert marker.hosts == [endpoints.marker_host]
    assert endpoints.marker_host not in first.hosts


def test_a_snapshot_leaves_removed_backends_out() -> None:
    endpoints = SyntheticEndpointList(10, [1], seed=1)

    endpoints.change(9)
    endpoints.change(9)

    (entry,) = json.loads(endpoints.snapshot())["hosts"]
    assert entry["host"] == endpoints.marker_host


def test_customers_come_to_gateways_of_their_sets_only() -> None:
    customers = Customers(1_000, gateways=10, spread=3, seed=1)
    for gateway in range(10):
        picked = {customers.pick(gateway) for _ in range(2_000)}
        assert all((gateway - first) % 10 < 3 for _, first in picked)
        assert all(number % 10 == first for number, first in picked)
        assert len(picked) == pytest.approx(300, abs=5)
