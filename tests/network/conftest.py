"""Fixtures of the tests on sockets."""

from __future__ import annotations

import pytest

from gateway.network.clients.listener import ClientListener


@pytest.fixture
def client_listeners(monkeypatch: pytest.MonkeyPatch) -> list[ClientListener]:
    """The client listeners of the gateways that the test starts, in the order in which they start."""
    listeners: list[ClientListener] = []
    listen = ClientListener.listen

    def listen_and_record(self: ClientListener, host: str, port: int) -> int:
        listeners.append(self)
        return listen(self, host, port)

    monkeypatch.setattr(ClientListener, "listen", listen_and_record)
    return listeners
