"""Checkouts of the program, and which of them a process measures."""

from __future__ import annotations

import sys
from pathlib import Path

from .errors import RunProblem, UsageProblem

PARTS = ("mintford", "roadpulley")


def checkout(folder: str) -> Path:
    """The folder of a checkout, whole. UsageProblem where it holds no program."""
    path = Path(folder).resolve()
    missing = [part for part in PARTS if not (path / part / "__init__.py").is_file()]
    if missing:
        raise UsageProblem(f"--program {folder}: no checkout of the program, {' and '.join(missing)} missing")
    return path


def bring_in(folder: str) -> None:
    """Let this process import the program from a checkout, and from nowhere else."""
    if folder:
        sys.path.insert(0, folder)
    import mintford
    import roadpulley

    for module in (mintford, roadpulley):
        if folder and Path(folder) not in Path(str(module.__file__)).resolve().parents:
            raise RunProblem(f"{module.__name__} came from {module.__file__}, not from {folder}")
