#!/bin/sh
# Checks that the stand-ins can be imported; they need only the standard library of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
