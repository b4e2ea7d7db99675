"""Errors of a scale run.

They don't share the gateway's base class, because the leading process never imports the measured program.
"""

from __future__ import annotations


class ScaleError(Exception):
    """Base class of the errors that a scale run raises on purpose."""


class UsageError(ScaleError):
    """The command line asks for a run that this machine or this tool cannot carry out."""


class RunError(ScaleError):
    """A worker process failed, so the run has no result."""


class CallTimeoutError(RunError):
    """A worker process did not answer a call in time."""
