#!/bin/sh
# Lint, types, tests; the last line counts the tests.
set -e
PY="${PY:-.venv-dev/bin/python}"
"$PY" -m ruff check .
"$PY" -m mypy
"$PY" -m pytest -q -p no:cacheprovider
