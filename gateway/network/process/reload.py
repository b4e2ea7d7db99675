"""Configuration reload of a running gateway, triggered by SIGHUP."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gateway.network.counter.client import CounterClient
from gateway.network.discovery.watch import EndpointWatcher

from .configuration import ConfigurationError, GatewayConfig

log = logging.getLogger("gateway")


class ReloadSignal:
    """A reload request that stays pending until a handler is connected.

    SIGHUP may arrive while the gateway is still starting.
    """

    def __init__(self) -> None:
        self._is_pending = False
        self._handler: Callable[[], None] | None = None

    def trigger(self) -> None:
        """Call the handler, or remember the signal until a handler is connected."""
        if self._handler is None:
            self._is_pending = True
        else:
            self._handler()

    def connect(self, handler: Callable[[], None]) -> None:
        """Call `handler` on each signal from now on, and immediately if a signal is pending."""
        self._handler = handler
        if self._is_pending:
            self._is_pending = False
            handler()


def reload_addresses(
    load_config: Callable[[], GatewayConfig], watcher: EndpointWatcher, counter: CounterClient | None
) -> None:
    """Reload the configuration and apply its discovery and counter addresses.

    All other settings keep their values from startup. If the configuration is invalid, the error is logged
    and nothing changes.
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
