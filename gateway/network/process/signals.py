"""The life of a process that runs one gateway: signals stop it or reload its configuration."""

from __future__ import annotations

import asyncio
import signal
from functools import partial

from .configuration import load_config
from .reload import ReloadSignal
from .server import GatewayServer


async def run_until_signalled(path: str) -> None:
    """Run the gateway that the configuration file at `path` describes, until SIGTERM or SIGINT.

    SIGHUP reloads the addresses in that file.

    Raises:
        ConfigurationError: the file cannot be read or is not valid.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload_signal = ReloadSignal()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # SIGHUP needs a handler before anything else starts: its default action ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload_signal.trigger)
    read_config = partial(load_config, path)
    server = GatewayServer(read_config(), load_config=read_config, reload_signal=reload_signal)
    await server.run(stop)
