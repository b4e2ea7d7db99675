"""Runs the adapter: `python -m gateway.simulator`.

Reads a batch of events a line on standard input and answers each with a line on standard output.
"""

import sys
from typing import TextIO

from .errors import WireFormatError
from .host import InstanceHost

BAD_INPUT_STATUS = 2
"""Exit status after a line that is not of the protocol's form."""


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends, or until one is malformed; returns the exit status."""
    host = InstanceHost()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except WireFormatError as error:
            message = " ".join(str(error).split())
            print(f"gateway.simulator: bad input: {message}", file=sys.stderr)
            return BAD_INPUT_STATUS
        replies.write(reply + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
