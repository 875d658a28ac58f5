"""`lupinmill relay FILE`: runs a relay of versioned configuration, or its source."""

from __future__ import annotations

import sys

import anyio
import click

from lupinmill.cli.admin_client import exit_with_error
from lupinmill.config import relay_file
from lupinmill.protocol.config_file import ConfigFileError


@click.command()
@click.argument("path", metavar="FILE")
@click.option("--check", "checks", is_flag=True, help="Check and explain the file without running anything.")
def relay(path: str, checks: bool) -> None:
    """Run a configuration relay, or the source if the file has no upstreams."""
    try:
        file = relay_file.read(path)
    except ConfigFileError as error:
        text = str(error)
        exit_with_error(ConfigFileError(text if text.startswith(path) else f"{path}: {text}"))
    if checks:
        click.echo("\n".join(relay_file.describe(file)))
        return
    from lupinmill.config.relay import Relay, StartError
    from lupinmill.program.logs import Logs

    logs = Logs(file.name)

    async def run() -> None:
        await Relay(file, logs.event).run()

    try:
        anyio.run(run)
    except StartError as error:
        exit_with_error(StartError(f"{path}: {error}"))
    finally:
        logs.close()
    sys.exit(0)
