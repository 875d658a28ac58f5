#!/bin/sh
# Builds what the cases 6 to 9 start. All of it is Python: the stand-ins are compiled, and the interpreter is the one that
# the deploy file's build has made. Nothing depends on the kind of machine.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/stand2.py review/6 review/7 review/8 review/9
