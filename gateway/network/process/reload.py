"""Reload of the configuration of a running gateway, which SIGHUP triggers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gateway.network.counter.client import CounterClient
from gateway.network.discovery.watch import EndpointWatcher

from .configuration import ConfigurationError, GatewayConfig

log = logging.getLogger("gateway")


class ReloadSignal:
    """A signal to reload, pending until a handler is connected.

    The signal may arrive while the gateway is still starting.
    """

    def __init__(self) -> None:
        self._is_pending = False
        self._handler: Callable[[], None] | None = None

    def trigger(self) -> None:
        """Reload now, or as soon as there is a handler."""
        if self._handler is None:
            self._is_pending = True
        else:
            self._handler()

    def connect(self, handler: Callable[[], None]) -> None:
        """Call `handler` for each signal from now on, and at once for one that came before."""
        self._handler = handler
        if self._is_pending:
            self._is_pending = False
            handler()


def reload_addresses(
    load_config: Callable[[], GatewayConfig], watcher: EndpointWatcher, counter: CounterClient | None
) -> None:
    """Move to the addresses in the configuration; all other settings stay as they were at the start.

    A configuration that cannot be read is logged and changes nothing.
    """
    try:
        config = load_config()
    except ConfigurationError as error:
        log.error("reload failed, the old configuration stays in force: %s", error)
        return
    moves: list[str] = []
    if config.discovery_address != watcher.address:
        moves.append(f"discovery moves from {watcher.address} to {config.discovery_address}")
        watcher.move_to(config.discovery_address)
    if counter is not None and config.counter_address not in (None, counter.address):
        moves.append(f"counter moves from {counter.address} to {config.counter_address}")
        counter.move_to(config.counter_address)
    log.info("configuration reloaded: %s", ", ".join(moves) or "no address changed")
