"""Errors of a scale run.

They don't share the gateway's base class, because the leading process never imports the measured program.
"""

from __future__ import annotations


class ScaleError(Exception):
    """Base class of the errors that a scale run raises on purpose."""


class UsageError(ScaleError):
    """The command line names a run that this machine or this tool cannot carry out."""


class RunError(ScaleError):
    """A process of the run failed, so the run has no result."""


class CallTimeoutError(RunError):
    """A worker process did not respond to a call in time."""


class ProtocolError(RunError):
    """A measured gateway sent a fake service what its protocol does not allow."""
