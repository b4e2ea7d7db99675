"""Command line of the gateway: `python -m gateway`, with the path of its configuration in LB_CONFIG."""

from __future__ import annotations

import logging
import os
import sys

import uvloop

from .network.discovery.endpoint_list import EndpointListError
from .network.process.configuration import ConfigurationError
from .network.process.signals import run_until_signalled

BAD_CONFIGURATION_STATUS = 2
"""Exit status if the configuration is missing or invalid."""


def configure_logging() -> None:
    """Log to standard error, with one line per record."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )


def main() -> int:
    """Run the gateway until a signal stops it, and return the exit status."""
    configure_logging()
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("gateway: LB_CONFIG is not set", file=sys.stderr)
        return BAD_CONFIGURATION_STATUS
    try:
        uvloop.run(run_until_signalled(path))
    except (ConfigurationError, EndpointListError) as error:
        print(f"gateway: bad configuration: {error}", file=sys.stderr)
        return BAD_CONFIGURATION_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
