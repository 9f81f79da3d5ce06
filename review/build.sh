#!/bin/sh
# Builds the stand-ins of the cases: they are Python and use the standard library alone, so they are only compiled.
# To be run after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
