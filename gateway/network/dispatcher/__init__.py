"""Where the peers meet: delivers events to the policy and carries out its actions.

What takes a request or an attempt owns it until it is settled, and one path settles it. A request belongs to
`RequestTable.open` until it has its reply or its client has disconnected; an attempt belongs to
`AttemptRunner.in_flight` until it has ended.
"""

from .dispatcher import Dispatcher

__all__ = ["Dispatcher"]
