"""Exit codes of the `lab` commands, and their common way to report bad input."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

# A rule was broken, the input is invalid, the run itself is void, stopped by a signal.
EXIT_BROKEN, EXIT_BAD_INPUT, EXIT_VOID, EXIT_STOPPED = 1, 2, 3, 130


def exit_with_error(error: object) -> NoReturn:
    """Prints one line on standard error and exits with EXIT_BAD_INPUT."""
    click.echo(f"lupinmill: {error}", err=True)
    sys.exit(EXIT_BAD_INPUT)
