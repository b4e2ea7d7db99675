#!/usr/bin/env bash
# Makes an environment from the project's files, then checks format, lint, imports and types and runs the tests.
#
# Usage: scripts/check.sh [ENVIRONMENT]     (a folder, .venv if none is given; an existing one is brought up to date)
set -euo pipefail
cd "$(dirname "$0")/.."
environment=${1:-.venv}
[ -x "$environment/bin/python" ] || python3 -m venv "$environment"
"$environment/bin/python" -m pip -q install -r requirements.txt -e '.[test,scale]'
PATH="$PWD/$environment/bin:$PATH"
ruff format --check .
ruff check .
lint-imports --no-logo
mypy
pytest -q
