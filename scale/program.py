"""Checkouts of the program, and which of them a process measures."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from .errors import RunProblem, UsageProblem

PARTS = ("gateway",)
NEEDED = ("gateway/__init__.py", "gateway/__main__.py")


def checkout(folder: str) -> Path:
    """The folder of a checkout, whole. UsageProblem where it holds no program."""
    path = Path(folder).resolve()
    missing = [name for name in NEEDED if not (path / name).is_file()]
    if missing:
        raise UsageProblem(f"--program {folder}: no checkout of the program, {' and '.join(missing)} missing")
    return path


def commit(folder: str) -> str:
    """The commit of a checkout, with a + where it has changes; empty where there is none to be told."""
    git = ["git", "-C", folder]
    try:
        named = subprocess.run(
            [*git, "rev-parse", "--short", "HEAD"], capture_output=True, text=True, timeout=10
        )
        changed = subprocess.run([*git, "status", "--porcelain", *PARTS], capture_output=True, timeout=10)
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return named.stdout.strip() + "+" * bool(named.stdout and changed.stdout)


def bring_in(folder: str) -> None:
    """Let this process import the program from a checkout before any other place."""
    sys.path.insert(0, folder)


def check_brought_in(folder: str) -> None:
    """RunProblem where any part of the program came from elsewhere."""
    for name, module in list(sys.modules.items()):
        place = getattr(module, "__file__", None)
        if name.partition(".")[0] in PARTS and place and Path(folder) not in Path(place).resolve().parents:
            raise RunProblem(f"{name} came from {place}, not from {folder}")
