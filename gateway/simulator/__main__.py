"""Runs the adapter: `python -m gateway.simulator`."""

import sys

from .adapter import main

if __name__ == "__main__":
    sys.exit(main())
