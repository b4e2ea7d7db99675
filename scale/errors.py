"""What can go wrong, by who has to act on it."""

from __future__ import annotations


class UsageProblem(Exception):
    """What was asked for cannot be run: the command line ends with status 2."""


class RunProblem(Exception):
    """A run that began could not be finished: the command line ends with status 1."""


class LateProblem(RunProblem):
    """A process did not answer in time."""
