"""`python -m lupinmill`: one sidecar, told by its environment; with arguments, the command."""

from __future__ import annotations

import os
import sys

import anyio

from lupinmill.program import told
from lupinmill.program.logs import Logs
from lupinmill.program.sidecar import Program


def serve() -> int:
    try:
        start = told.read(os.environ)
    except told.BadStart as error:
        print(f"lupinmill: {error}", file=sys.stderr)
        return 2
    logs = Logs(start.name)
    try:
        anyio.run(Program(start, logs.event, lambda: told.read(os.environ, again=True)).run)
    except OSError as error:
        print(f"lupinmill: {error.strerror}", file=sys.stderr)
        return 2
    finally:
        logs.close()
    return 0


def main() -> int:
    if len(sys.argv) < 2:
        return serve()
    try:
        from lupinmill.cli.main import main as command  # what serves never imports it
    except ModuleNotFoundError as error:
        if error.name != "click":
            raise
        print(
            "lupinmill: commands want click: pip install 'lupinmill[peers]' or 'lupinmill[lab]'",
            file=sys.stderr,
        )
        return 2
    return command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
