from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
WITHOUT_DECISIONS = {
    "__init__.py",
    "actions.py",
    "backends.py",
    "counter_calls.py",
    "endpoint_records.py",
    "events.py",
    "ring.py",
    "settings.py",
    "timers.py",
}
"""The modules of the policy that hold types or containers only, and so are not on the operators' list."""


def test_the_module_stays_short_and_its_lines_narrow() -> None:
    """The operators run no module of more than 1,200 lines, those of all its files together."""
    files = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    lines = [line for name in files for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert len(lines) <= 1_200
    assert "gateway/policy/events.py" in "".join(lines[:3])


def test_every_module_that_decides_is_on_the_operators_list() -> None:
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]

    modules = {path.relative_to(ROOT).as_posix() for path in (ROOT / "gateway/policy").rglob("*.py")}

    assert len(listed) == len(set(listed))
    assert set(listed) == modules - {f"gateway/policy/{name}" for name in WITHOUT_DECISIONS}
    assert {f"gateway/policy/{name}" for name in WITHOUT_DECISIONS} <= modules


def test_no_line_is_over_110_characters() -> None:
    for path in [*ROOT.glob("gateway/**/*.py"), *ROOT.glob("tests/**/*.py")]:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert len(line) <= 110, f"{path.name}:{number}"


def test_the_readme_s_example_runs() -> None:
    example = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(example) == 1
    space: dict[str, object] = {}
    exec(example[0], space)
    assert space["sent"]
    assert space["served"]
