"""How long idle connections are reused, as learned from requests that were lost on them."""

from __future__ import annotations

import asyncio
import math

from gateway.network.backends.idle_loss import IdleLossEstimator
from gateway.policy.events import Outcome
from tests.support.backend_harness import VALUE_REPLY, RecordedAttempt, idle_connections, open_pool
from tests.support.event_loop import runs_in_loop
from tests.support.fake_services import FakeBackend, ScriptedReply


@runs_in_loop
async def test_connections_are_not_reused_beyond_the_idle_time_at_which_requests_are_lost() -> None:
    """Backends may drop idle connections without notice long before the keep-alive time."""
    used_writers: set[asyncio.StreamWriter] = set()

    async def reply_once_per_connection(_command: list[bytes]) -> ScriptedReply:
        is_reused = bool(backend.open_connections & used_writers)
        used_writers.update(backend.open_connections)
        return b"" if is_reused else VALUE_REPLY

    backend = FakeBackend(reply_once_per_connection)
    async with open_pool(backend) as pool:
        outcomes = []
        for _ in range(12):
            for connection in idle_connections(pool):
                connection.idle_since -= 300
            outcomes.append(await RecordedAttempt(pool).outcome())

        assert outcomes.count(Outcome.CONNECTION_RESET) <= 3
        assert outcomes[-5:] == [Outcome.OK] * 5
        assert pool.resources.idle_loss.max_idle_ms == 200

        for _ in range(60):
            pool.resources.idle_loss.decay()
        assert pool.resources.idle_loss.max_idle_ms == math.inf, "longer idle times are allowed again"


def test_losses_as_frequent_on_new_connections_do_not_limit_the_idle_time() -> None:
    estimator = IdleLossEstimator()

    for turn in range(100):
        for idle_ms in (None, 50.0, 300.0):
            estimator.record(idle_ms, is_lost=turn % 5 == 0)

    assert estimator.max_idle_ms == math.inf
