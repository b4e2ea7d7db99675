"""Delivers network events to the policy, and carries out the policy's actions.

Each request and each attempt has one owner until it has ended, and a single code path ends it. A request is
in `RequestTable.open` until it has its reply or its client has disconnected; an attempt is in
`AttemptRunner.in_flight` until it has ended.
"""

from .dispatcher import Dispatcher

__all__ = ["Dispatcher"]
