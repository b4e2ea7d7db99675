"""The signals of the gateway process: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import signal
from functools import partial

from .configuration import load_config
from .reload import ReloadSignal
from .server import GatewayServer


async def run_until_signalled(path: str) -> None:
    """Run a gateway with the configuration file at `path` until SIGTERM or SIGINT.

    SIGHUP reloads the addresses in that file.

    Raises:
        ConfigurationError: the file cannot be read or is not valid.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload_signal = ReloadSignal()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Handle SIGHUP before the configuration is read: the signal's default action ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload_signal.trigger)
    read_config = partial(load_config, path)
    server = GatewayServer(read_config(), load_config=read_config, reload_signal=reload_signal)
    await server.run(stop)
