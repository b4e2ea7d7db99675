"""Configuration reload of a running gateway."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from gateway.network.process.configuration import load_config
from gateway.network.process.reload import ReloadSignal, reload_addresses
from tests.support.event_loop import run_in_loop
from tests.support.invalid_configurations import INVALID_CONFIGURATIONS
from tests.support.watch_harness import WatchHarness


@pytest.mark.parametrize("text", INVALID_CONFIGURATIONS.values(), ids=INVALID_CONFIGURATIONS.keys())
def test_invalid_configuration_leaves_the_old_one_in_force(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    config = tmp_path / "config.json"
    config.write_text(text, errors="surrogateescape")
    caplog.set_level("ERROR")

    async def scenario() -> None:
        async with WatchHarness() as watch:
            address = watch.watcher.address

            reload_addresses(lambda: load_config(str(config)), watch.watcher, None)

            assert watch.watcher.address == address
            assert watch.watcher.version == 41

    run_in_loop(scenario)
    assert len(caplog.records) == 1
    assert "the old configuration stays in force" in caplog.text
    assert caplog.text.count("\n") == 1


def test_reload_is_logged_with_the_addresses_that_change(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", logger="gateway")
    config = tmp_path / "config.json"

    async def scenario() -> None:
        async with WatchHarness() as watch:
            old_address = watch.watcher.address
            for discovery_address in (old_address, "127.0.0.1:1"):
                addresses = {"listen": "127.0.0.1:0", "discovery": str(discovery_address)}
                config.write_text(json.dumps({**addresses, "settings": {}}))

                reload_addresses(lambda: load_config(str(config)), watch.watcher, None)

            messages = [record.getMessage() for record in caplog.records if record.name == "gateway"]
            assert messages == [
                "configuration reloaded: no address changed",
                f"configuration reloaded: discovery moves from {old_address} to 127.0.0.1:1",
            ]

    run_in_loop(scenario)


def test_signal_before_the_start_is_done_is_handled_once_at_its_end() -> None:
    handled: list[str] = []
    reload_signal = ReloadSignal()
    reload_signal.trigger()
    reload_signal.trigger()

    reload_signal.connect(lambda: handled.append("early"))
    reload_signal.connect(lambda: handled.append("late"))

    assert handled == ["early"]


def test_each_signal_after_the_start_is_handled_at_once() -> None:
    handled: list[str] = []
    reload_signal = ReloadSignal()
    reload_signal.connect(lambda: handled.append("reload"))

    reload_signal.trigger()
    reload_signal.trigger()

    assert handled == ["reload", "reload"]
