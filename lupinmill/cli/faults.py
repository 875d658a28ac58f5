"""`lupinmill lab faults`: the fault campaign at any size."""

from __future__ import annotations

import sys

import click

from lupinmill.cli.exit_codes import EXIT_BROKEN


@click.command()
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Seed of the first run.")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Number of runs, with consecutive seeds.",
)
@click.option("--processes", default=30, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--seconds", default=30.0, show_default=True, type=click.FloatRange(1, 3600), help="Length of each run."
)
@click.option(
    "--soak",
    is_flag=True,
    help="Soak test: long-lived processes, slow discovery, clients that stay until the kill.",
)
@click.option("--operators", is_flag=True, help="Operators take endpoints out and drain sidecars.")
@click.option("--clock-steps", is_flag=True, help="The wall clock of the sidecars' processes is set.")
@click.option("--slow-answers", is_flag=True, help="Endpoints give long answers slowly, and stand still.")
@click.option(
    "--old-lists",
    is_flag=True,
    help="Lists are pushed; processes are killed and start with an old list beside a slow discovery.",
)
def faults(
    seed: int,
    seeds: int,
    processes: int,
    seconds: float,
    soak: bool,
    operators: bool,
    clock_steps: bool,
    slow_answers: bool,
    old_lists: bool,
) -> None:
    """Run real processes among stand-ins under random faults, checked by a referee. Exit code 1 if a rule is
    broken; prints the seed and the schedule to replay it, and the path of the full report."""
    from lupinmill.lab.faults import reports, run

    broken = False
    for one in range(seed, seed + seeds):
        verdict = run.play(
            one,
            processes,
            seconds,
            soak=soak,
            operators=operators,
            clock_steps=clock_steps,
            slow_answers=slow_answers,
            old_lists=old_lists,
        )
        click.echo(reports.verdict_text(verdict))
        broken |= bool(verdict.violations)
    sys.exit(EXIT_BROKEN if broken else 0)
