"""`lupinmill lab capacity`: the tables of docs/CAPACITY.md, from measurements and a target."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from lupinmill.cli.exit_codes import exit_with_error
from lupinmill.lab.scale import measured, page, target
from lupinmill.lab.scale.target import InvalidTarget

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def read_measured(path: Path) -> measured.Measured:
    try:
        return measured.read(path)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        exit_with_error(f"{path}: {error}")


@click.command()
@click.option(
    "--target",
    "target_",
    metavar="FILE",
    type=click.Path(path_type=Path),
    help="A target other than the project's own.",
)
@click.option(
    "--measured",
    "measured_",
    metavar="FILE",
    type=click.Path(path_type=Path),
    help="Results of another `slopes` run.",
)
@click.option("--write", is_flag=True, help="Write the tables into docs/CAPACITY.md, between its markers.")
def capacity(target_: Path | None, measured_: Path | None, write: bool) -> None:
    """Measured slopes times the target: budgets, usage, and the fleet size at which each budget is exceeded.

    Exit code 2 if a file can't be used, with one line that names the key.
    """
    if write and (target_ or measured_):
        exit_with_error(
            "--write: docs/CAPACITY.md holds only the project's own target and run; print others instead"
        )
    try:
        wanted = target.read(target_ or target.FILE)
    except InvalidTarget as error:
        exit_with_error(error)
    blocks = page.render_blocks(wanted, read_measured(measured_ or measured.FILE))
    if not write:
        click.echo("\n\n".join(blocks.values()))
        return
    try:
        page.write_blocks(PAGE, blocks)
    except OSError as error:
        exit_with_error(f"{PAGE}: {error.strerror}")
    except page.MarkersNotFound as error:
        exit_with_error(f"{PAGE}: {error}")
