"""Exit codes of the `lab` commands, and the one way in which they refuse what they were told."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

BROKEN, BAD, VOID, STOPPED = 1, 2, 3, 130  # a rule, what was told, the run itself; by a signal


def refuse(error: object) -> NoReturn:
    """One line on standard error, and exit code BAD."""
    click.echo(f"lupinmill: {error}", err=True)
    sys.exit(BAD)
