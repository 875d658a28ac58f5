"""`python -m lupinmill`: runs one sidecar, configured by its environment; with arguments, the command."""

from __future__ import annotations

import sys

from lupinmill.program.signals import Signals
from lupinmill.program.standard_streams import open_missing, print_error
from lupinmill.program.unused_modules import replace_unused_modules

SERVES = __name__ == "__main__" and len(sys.argv) < 2
SIGNALS = Signals()
if SERVES:
    # Before the imports below, which take most of the startup time: until then a signal ends the process.
    open_missing()
    SIGNALS.hold()
    replace_unused_modules()

import os  # noqa: E402

import anyio  # noqa: E402

from lupinmill.program import process_settings  # noqa: E402
from lupinmill.program.logs import Logs  # noqa: E402
from lupinmill.program.sidecar import Program  # noqa: E402


def serve() -> int:
    logs = None
    try:
        settings = process_settings.read(os.environ)
        logs = Logs(settings.name)
        program = Program(
            settings, logs.event, lambda: process_settings.read(os.environ, reload=True), SIGNALS
        )
        anyio.run(program.run)
    except process_settings.StartupError as error:
        print_error(str(error))
        return 2
    except OSError as error:
        print_error(error.strerror or str(error))
        return 2
    finally:
        SIGNALS.ignore()
        if logs is not None:
            logs.close()
    return 0


def main() -> int:
    if len(sys.argv) < 2:
        return serve()
    try:
        from lupinmill.cli.main import main as command  # a serving process never imports it
    except ModuleNotFoundError as error:
        if error.name != "click":
            raise
        print(
            "lupinmill: commands require click: pip install 'lupinmill[peers]' or 'lupinmill[lab]'",
            file=sys.stderr,
        )
        return 2
    return command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
