#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need nothing but the environment that `build` leaves in .venv.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
