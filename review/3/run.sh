#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
PYTHONPATH=.:review exec timeout -k 5 118 .venv/bin/python review/3/case.py
