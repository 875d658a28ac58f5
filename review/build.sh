#!/bin/sh
# Builds every stand-in that a script starts: they are Python without dependencies, in review/ and its folders. To be
# run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review
