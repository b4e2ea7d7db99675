"""Bad clients, in a process of their own: each connects and sends hundreds of commands at once.

They send at full speed and read whatever is sent to them. Arguments: the port, the number of clients, the
commands of each, and the seconds until they go.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.clients import RequestMaker
from standins2.servers import LOOPBACK


class BadClient:
    """A connection, and what it has not sent yet."""

    def __init__(self, port: int, commands: bytes) -> None:
        self.socket = socket.create_connection((LOOPBACK, port))
        self.socket.setblocking(False)
        self.unsent = memoryview(commands)
        self.answered_lines = 0

    def on_ready(self, events: int) -> bool:
        """Read and write; return False if the connection has ended."""
        try:
            if events & selectors.EVENT_READ:
                data = self.socket.recv(262_144)
                self.answered_lines += data.count(b"\n")
                if not data:
                    return False
            if events & selectors.EVENT_WRITE and self.unsent:
                self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    @property
    def events(self) -> int:
        """What to wait for."""
        return selectors.EVENT_READ | (selectors.EVENT_WRITE if self.unsent else 0)


def main(port: int, clients: int, commands: int, seconds: float) -> None:
    """Play the bad clients."""
    maker = RequestMaker(seed=666)
    bursts = [b"".join(maker.make().command for _ in range(commands)) for _ in range(clients)]
    selector = selectors.DefaultSelector()
    ends_at = time.monotonic() + seconds
    open_clients = [BadClient(port, burst) for burst in bursts]
    for client in open_clients:
        selector.register(client.socket, client.events, client)
    while time.monotonic() < ends_at and selector.get_map():
        for key, events in selector.select(0.1):
            client = key.data
            if not client.on_ready(events):
                selector.unregister(client.socket)
                client.socket.close()
            elif client.events != key.events:
                selector.modify(client.socket, client.events, client)
    print(f"bad clients: {sum(client.answered_lines for client in open_clients)} lines of answers")


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError):
        main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
