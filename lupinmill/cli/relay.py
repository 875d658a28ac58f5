"""`lupinmill relay FILE`: a relay of versioned configuration, or its source."""

from __future__ import annotations

import sys

import anyio
import click

from lupinmill.cli.asking import refuse
from lupinmill.config import relay_file
from lupinmill.program.operators_file import BadFile


@click.command()
@click.argument("path", metavar="FILE")
@click.option("--check", "checks", is_flag=True, help="Tell what follows from the file; run nothing.")
def relay(path: str, checks: bool) -> None:
    """Run a relay of configuration, or its source (a file without upstreams)."""
    try:
        file = relay_file.read(path)
    except BadFile as error:
        text = str(error)
        refuse(BadFile(text if text.startswith(path) else f"{path}: {text}"))
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
        refuse(StartError(f"{path}: {error}"))
    finally:
        logs.close()
    sys.exit(0)
