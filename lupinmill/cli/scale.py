"""`lupinmill lab slopes`: measures how costs grow with the size of the fleet."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from lupinmill.cli.exit_codes import EXIT_BROKEN, exit_with_error

if TYPE_CHECKING:
    from lupinmill.lab.scale.measured import Measured


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes; checks growth and bounds, but no times.")
@click.option(
    "--sizes", default="", help="Numbers of members, comma-separated; default: 100,300,1000,3000,20000."
)
@click.option("--seeds", default="", help="Comma-separated; default: 1,2, with --quick 1.")
@click.option(
    "--out", default="", metavar="FILE", help="Output file; default: the project's own, with --quick none."
)
@click.option(
    "--only", default="", metavar="PARTS", help="Some of members,added,returns,fanout; merged into the file."
)
def slopes(quick: bool, sizes: str, seeds: str, out: str, only: str) -> None:
    """Measure what grows with the fleet: figures by role and size, with fits."""
    from lupinmill.lab.scale import measured, slopes

    try:
        usual = slopes.QUICK_SIZES if quick else slopes.SIZES
        chosen = parse_numbers(sizes, "--sizes", slopes.MIN_SIZE, slopes.MAX_SIZE) or list(usual)
        drawn = parse_numbers(seeds, "--seeds", 0, 2**31) or ([1] if quick else [1, 2])
        parts = (slopes.MEMBERS_PART,) if quick else (slopes.MEMBERS_PART, *slopes.OTHER_PARTS)
        if only:
            if wrong := [
                part for part in only.split(",") if part not in (slopes.MEMBERS_PART, *slopes.OTHER_PARTS)
            ]:
                every = ", ".join((slopes.MEMBERS_PART, *slopes.OTHER_PARTS))
                raise ValueError(f"--only {wrong[0] or only}: expected some of {every}")
            parts = tuple(only.split(","))
        path = Path(out) if out else measured.FILE
        if not path.resolve().parent.is_dir() or path.is_dir():
            raise ValueError(f"--out {out}: its directory does not exist, or it is a directory itself")
        before = read_earlier_run(path) if only else None
        slopes.check_memory(slopes.plan_runs(chosen, drawn, quick))
    except ValueError as error:
        exit_with_error(error)
    command = "lupinmill lab slopes" + "".join(
        f" {text}"
        for text in (
            quick and "--quick",
            sizes and f"--sizes {sizes}",
            seeds and f"--seeds {seeds}",
            only and f"--only {only}",
        )
        if text
    )
    found, wrong = slopes.measure(
        chosen, drawn, quick, command, lambda text: click.echo(text, err=True), parts
    )
    click.echo(slopes.format_table(found))
    if out or not quick:
        measured.write(slopes.merge(before, found, parts) if before is not None else found, path)
    for text in wrong:
        click.echo(f"BROKEN: {text}")
    sys.exit(EXIT_BROKEN if wrong else 0)


def read_earlier_run(path: Path) -> Measured | None:
    """The earlier run into which a partial run is merged. Raises ValueError."""
    from lupinmill.lab.scale import measured

    try:
        return measured.read(path) if path.exists() else None
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"--out {path}: not the file of an earlier run: {error}") from error


def parse_numbers(text: str, key: str, least: int, most: int) -> list[int]:
    """Parses comma-separated, distinct integers within bounds. Raises ValueError."""
    try:
        found = [int(part) for part in text.split(",")] if text else []
    except ValueError:
        raise ValueError(f"{key} {text}: expected comma-separated integers") from None
    for one in found:
        if not least <= one <= most:
            raise ValueError(f"{key} {one}: must be {least} to {most}")
    if len(set(found)) < len(found):
        raise ValueError(f"{key} {text}: a number is repeated")
    return found
