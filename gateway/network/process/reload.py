"""Reloads the configuration of a running gateway, as SIGHUP asks for."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gateway.network.counter.client import CounterClient
from gateway.network.discovery.watch import EndpointWatcher

from .configuration import ConfigurationError, GatewayConfig

log = logging.getLogger("gateway")


class ReloadSignal:
    """A request to reload, kept until a handler is there to fulfil it.

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
    load: Callable[[], GatewayConfig], watcher: EndpointWatcher, counter: CounterClient | None
) -> None:
    """Move to the addresses that the configuration names now; all else stays as it was at the start.

    A configuration that cannot be read is logged and changes nothing.
    """
    try:
        config = load()
    except ConfigurationError as error:
        log.error("reload failed, the old configuration stays in force: %s", error)
        return
    log.info("configuration reloaded")
    if config.discovery_address != watcher.address:
        watcher.move_to(config.discovery_address)
    if counter is not None and config.counter_address is not None:
        counter.move_to(config.counter_address)
