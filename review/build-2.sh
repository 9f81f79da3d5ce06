#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file: compiles them to bytecode.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q gradehoist review/platform_day.py review/cells_fleet.py review/6 review/7 review/8 review/9 review/10
