"""Command line of the adapter: `python -m gateway.simulator`.

It reads one batch of events per line from standard input and answers each with one line on standard output.
"""

import sys
from typing import TextIO

from .errors import WireFormatError
from .host import InstanceHost

BAD_INPUT_STATUS = 2
"""Exit status after a line that does not follow the protocol."""


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends or a batch is malformed, and return the exit status."""
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
