"""Checks that the documentation refers only to names, tests and files that exist."""

from __future__ import annotations

import ast
import re
import tomllib
from collections import defaultdict
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = ("README.md", "docs/ARCHITECTURE.md", "docs/CAPACITY.md", "docs/OPEN.md", "docs/endings.md")
SOURCES = ("gateway", "scale", "benchmarks", "tests")

QUOTED = re.compile(r"`([^`\n]+)`")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*")
PATH = re.compile(r"[\w.*]+(?:/[\w.*]+)+/?|[\w*]+\.(?:py|md|toml|sh|txt)")
TEST_NAME = re.compile(r"\btest_\w+")


@dataclass
class SourceNames:
    """The names and the string and bytes constants in the source files."""

    names: set[str] = field(default_factory=set)
    members: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    """The names in each class's definition, including its direct bases but not their members."""
    texts: set[str] = field(default_factory=set)

    def add(self, tree: ast.AST) -> None:
        for node in ast.walk(tree):
            self.names |= names_in(node)
            if isinstance(node, ast.ClassDef):
                self.members[node.name] |= {name for child in ast.walk(node) for name in names_in(child)}
                self.members[node.name] |= {base.id for base in node.bases if isinstance(base, ast.Name)}
            elif isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
                self.texts.add(node.value if isinstance(node.value, str) else node.value.decode("latin-1"))

    def has_member(self, class_name: str, member: str) -> bool:
        """Return whether a class or one of its direct bases has a member."""
        members = self.members[class_name]
        bases = [name for name in members if name in self.members and name != class_name]
        return member in members or any(member in self.members[base] for base in bases)


def names_in(node: ast.AST) -> set[str]:
    """Return the names that one node of a syntax tree defines or uses."""
    match node:
        case ast.Name(id=name) | ast.Attribute(attr=name) | ast.arg(arg=name):
            return {name}
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
            return {name}
        case _:
            return set()


@cache
def source_names() -> SourceNames:
    found = SourceNames()
    for folder in SOURCES:
        for path in (ROOT / folder).rglob("*.py"):
            found.names |= {path.stem, path.parent.name}
            found.add(ast.parse(path.read_text()))
    found.texts |= set(tomllib.loads((ROOT / "deploy/balancer.toml").read_text()))
    return found


def exists(quoted: str) -> bool:
    """Return whether a quoted text is a name in the code or a file.

    A text that is neither a path nor an identifier, such as a command, counts as existing.
    """
    if PATH.fullmatch(quoted):
        relative = quoted.strip("/")
        return any(ROOT.glob(relative)) or any(ROOT.rglob(relative)) or quoted in source_names().texts
    if not IDENTIFIER.fullmatch(quoted):
        return True
    found = source_names()
    if quoted in found.texts:
        return True
    first, *others = quoted.split(".")
    if first in found.members and len(others) == 1:
        return found.has_member(first, others[0])
    return all(part in found.names for part in (first, *others))


@pytest.mark.parametrize("page", PAGES)
def test_each_quoted_name_of_a_page_exists(page: str) -> None:
    text = (ROOT / page).read_text()

    quoted_names = {match[1] for match in QUOTED.finditer(text)}

    assert len(quoted_names) > 3
    assert sorted(name for name in quoted_names if not exists(name)) == []


@pytest.mark.parametrize("page", PAGES)
def test_each_test_that_a_page_names_exists(page: str) -> None:
    tests = set(TEST_NAME.findall((ROOT / page).read_text()))

    assert sorted(tests - source_names().names - {"test_"}) == []
