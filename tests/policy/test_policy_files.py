"""The policy's files: `deploy/balancer.toml` lists each of them; lines are at most 110 characters long."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
MAX_LINE_LENGTH = 110


def listed_policy_files() -> list[str]:
    """Return the files that `deploy/balancer.toml` lists as the policy's."""
    deployment = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    files: list[str] = deployment["policy"]
    return files


def test_the_operators_list_names_every_module_of_the_policy_once_and_no_other() -> None:
    modules = sorted(path.relative_to(ROOT).as_posix() for path in (ROOT / "gateway/policy").rglob("*.py"))

    listed = listed_policy_files()

    assert sorted(listed) == modules


def test_policy_py_comes_first_and_its_head_names_the_events() -> None:
    """The operators' tools look for the policy's interface at the head of the first file."""
    first = listed_policy_files()[0]
    lines = [line for line in (ROOT / first).read_text().splitlines() if line.strip()]

    assert first == "gateway/policy/policy.py"
    assert "gateway/policy/events.py" in "".join(lines[:3])


def test_no_line_is_over_110_characters() -> None:
    for path in [*ROOT.glob("gateway/**/*.py"), *ROOT.glob("tests/**/*.py")]:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert len(line) <= MAX_LINE_LENGTH, f"{path.name}:{number}"


def test_the_readme_s_example_runs() -> None:
    example = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(example) == 1
    namespace: dict[str, object] = {}
    exec(example[0], namespace)
    assert namespace["sent"]
    assert namespace["served"]
