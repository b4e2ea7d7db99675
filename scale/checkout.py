"""Checkouts of the program: their validation and commits, and the import of the program from one of them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from .errors import RunError, UsageError

PACKAGE = "gateway"
"""Name of the measured program's package."""

REQUIRED_FILES = (f"{PACKAGE}/__init__.py", f"{PACKAGE}/__main__.py")
"""Files that a folder must contain to be accepted as a checkout."""

GIT_TIMEOUT_S = 10.0
"""Timeout of each git command, in seconds."""


def resolve_checkout(folder: str) -> Path:
    """Return the absolute path of a checkout.

    Raises:
        UsageError: the folder lacks one of `REQUIRED_FILES`.
    """
    path = Path(folder).resolve()
    missing = [name for name in REQUIRED_FILES if not (path / name).is_file()]
    if missing:
        raise UsageError(
            f"--program {folder}: not a checkout of the program, {' and '.join(missing)} missing"
        )
    return path


def describe_commit(folder: str) -> str:
    """Return the short commit hash of a checkout, or "" if git gives none.

    A "+" follows the hash if the program has uncommitted changes.
    """
    git = ["git", "-C", folder]
    try:
        head = subprocess.run(
            [*git, "rev-parse", "--short", "HEAD"], capture_output=True, text=True, timeout=GIT_TIMEOUT_S
        )
        status = subprocess.run(
            [*git, "status", "--porcelain", PACKAGE], capture_output=True, timeout=GIT_TIMEOUT_S
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    has_changes = bool(head.stdout and status.stdout)
    return head.stdout.strip() + ("+" if has_changes else "")


def prefer_checkout(folder: str) -> None:
    """Put a checkout first in the module search path of this process."""
    sys.path.insert(0, folder)


def check_import_origin(folder: str) -> None:
    """Check that the program was imported from `folder`.

    Raises:
        RunError: a module of the program was imported from elsewhere.
    """
    for name, module in list(sys.modules.items()):
        origin = getattr(module, "__file__", None)
        if name.partition(".")[0] != PACKAGE or not origin:
            continue
        if Path(folder) not in Path(origin).resolve().parents:
            raise RunError(f"module {name} was imported from {origin}, not from the checkout {folder}")
