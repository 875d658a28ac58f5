#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec ../../.venv/bin/python case.py
