"""A call of the counter, and the reply to it. Nothing here decides anything."""

from typing import NamedTuple

from .events import CounterResponse
from .leases import Lease
from .requests import PendingRequest


class CounterCall(NamedTuple):
    """A call that the counter has not answered yet."""

    customer: str
    period: int
    amount: float
    request_id: str = ""  # of the request that waits for the response, if one does
    is_previous_period: bool = False  # it reads the period before, for what that left owed
    expected_total: float = 0.0  # of a correction, unless somebody else corrected the total meanwhile


class CounterReply(NamedTuple):
    """The response to a call, the customer's lease, and the request that still waits for it."""

    now: float
    call: CounterCall
    event: CounterResponse
    lease: Lease
    request: PendingRequest | None
