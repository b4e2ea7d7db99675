"""Errors of a scale run.

They don't share the gateway's base class, because the main process never imports the measured program.
"""

from __future__ import annotations


class ScaleError(Exception):
    """Base class of the errors that a scale run raises."""


class UsageError(ScaleError):
    """The command line requests a run that this machine or this tool does not support."""


class RunError(ScaleError):
    """The run failed and has no result, for example because one of its processes failed."""


class CallTimeoutError(RunError):
    """A worker process did not respond to a call in time."""


class ProtocolError(RunError):
    """A measured gateway sent a fake service a message that the protocol does not allow."""
