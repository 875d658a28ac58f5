"""`python -m lupinmill`: runs one sidecar, configured by its environment; with arguments, the command."""

from __future__ import annotations

import os
import sys

from lupinmill.program.signals import Signals
from lupinmill.program.standard_streams import open_missing, print_error
from lupinmill.program.unused_modules import replace_unused_modules

SERVES = __name__ == "__main__" and len(sys.argv) < 2
SIGNALS = Signals()
PREDECESSOR = None  # the connection to a process that has made room for this one
START_MEMORY = 0  # bytes; see `memory_at_request`
if SERVES:
    # Before the imports below, which take most of the startup time: until then a signal ends the process.
    open_missing()
    SIGNALS.hold()
    replace_unused_modules()
    # They take most of the memory, too, which a predecessor may hold.
    from lupinmill.handover.start_permission import NoRoom, memory_at_request, request_room

    START_MEMORY = memory_at_request(os.environ)
    try:
        PREDECESSOR = request_room(os.environ, SIGNALS.shutdown_requested)
    except NoRoom as error:
        print_error(str(error))
        sys.exit(2)

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
            settings,
            logs.event,
            lambda: process_settings.read(os.environ, reload=True),
            SIGNALS,
            PREDECESSOR,
            START_MEMORY,
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
