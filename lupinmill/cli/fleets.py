"""`lupinmill lab fleet`, `zones`, `members` and `explore`: sidecars that know each other."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from lupinmill.cli.exits import BROKEN, refuse
from lupinmill.lab import scenario
from lupinmill.lab.scenario import BadScenario


@click.command("fleet")
@click.argument("name", metavar="SCENARIO")
@click.option("--seed", default=None, type=click.IntRange(0, 2**31), help="Else the scenario's own.")
@click.option(
    "--seeds", default=1, show_default=True, type=click.IntRange(1, 1000), help="Runs, from that seed on."
)
@click.option("--sockets", is_flag=True, help="Real processes with a relay between every two, in real time.")
@click.option(
    "--html", "page", type=click.Path(dir_okay=False), help="Write the last run as a page of strips."
)
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the last run's result.")
def fleet(name: str, seed: int | None, seeds: int, sockets: bool, page: str | None, path: str | None) -> None:
    """Sidecars that know each other, with faults between them; `random` draws the faults by the seed. Exit
    code 1 where an invariant was broken."""
    import asyncio

    from lupinmill.lab import fleet as scenarios
    from lupinmill.lab import fleet_sockets, fleet_virtual

    try:
        read = None if name == "random" else scenarios.load(name)
    except scenarios.BadFleet as error:
        refuse(error)
    broken = False
    first = seed if seed is not None else read.seed if read is not None else 1
    for number in range(first, first + seeds):
        read = scenarios.drawn(number) if name == "random" else read
        assert read is not None
        if sockets:
            one = asyncio.run(fleet_sockets.play(read, number))
        else:
            one = fleet_virtual.VirtualFleet(read, number).play()
        figures = "  ".join(f"{key} {value:g}" for key, value in one.figures.items())
        click.echo(f"{name} (seed {number}, {one.driver}): {figures}")
        for text in one.broken:
            click.echo(f"  BROKEN: {text}")
        broken |= bool(one.broken)
    if path:
        Path(path).write_bytes(msgspec.json.encode(one))
    if page:
        from lupinmill.lab import fleet_report

        fleet_report.write(page, one)
    sys.exit(BROKEN if broken else 0)


@click.command("zones")
@click.argument("name", metavar="SCENARIO", default="zone-loss")
@click.option("--modes", default="off,near,alone,plan,sight", show_default=True, help="What is compared.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="Change a setting of the scenario."
)
@click.option("--jobs", default=0, help="Runs at once; all cores if not told.")
def zones(name: str, modes: str, seeds: int, changes: tuple[str, ...], jobs: int) -> None:
    """A scenario of zones in virtual time: today, near only, each alone, the plan in common, one that sees
    all.

    Exit code 1 where a rule was broken or two held one epoch.
    """
    import os

    from lupinmill.lab import commons, zones_measure

    chosen = modes.split(",")
    try:
        scenario.load(name)
        if wrong := [mode for mode in chosen if mode not in commons.MODES]:
            raise ValueError(f"--modes {wrong[0]}: one of {', '.join(commons.MODES)}")
        pairs = tuple((key.strip(), value.strip()) for key, _, value in (c.partition("=") for c in changes))
        found = zones_measure.compare_modes(
            name, chosen, list(range(1, seeds + 1)), pairs, jobs or os.cpu_count() or 1, click.echo
        )
    except (BadScenario, ValueError) as error:
        refuse(error)
    sys.exit(BROKEN if any(row.broken for rows in found.values() for row in rows) else 0)


@click.command()
@click.option("--kind", "kinds", multiple=True, help="Rows: death, quiet, 'loss 10%', ...; all if not told.")
@click.option("--sizes", default="10,100", show_default=True, help="Members.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=300.0, show_default=True, help="Of simulated time, of the rows with loss.")
@click.option("--jobs", default=0, help="Runs at once; all cores if not told.")
def members(kinds: tuple[str, ...], sizes: str, seeds: int, seconds: float, jobs: int) -> None:
    """Membership by size, in virtual time, each figure beside theory's."""
    import os

    from lupinmill.lab import fleet_measure

    try:
        counts = [int(one) for one in sizes.split(",")]
        wrong = [one for one in kinds if one not in fleet_measure.KINDS]
        if wrong or min(counts) < 2:
            raise ValueError(
                f"--kind {wrong[0]}: one of {', '.join(fleet_measure.KINDS)}" if wrong else "--sizes"
            )
    except ValueError as error:
        refuse(error)
    chosen = list(kinds) or list(fleet_measure.KINDS)
    fleet_measure.table(chosen, counts, seeds, seconds, jobs or os.cpu_count() or 1, click.echo)


def explore_versions(departures: int, states: int, walks: int) -> None:
    from lupinmill.lab import explore_config

    outcome = explore_config.check(departures, states)
    how = "all" if outcome.whole else "not all"
    click.echo(f"{outcome.states} states, {how} schedules with up to {outcome.departures} departures")
    wrong = f"{outcome.found.wrong}: {outcome.found.text()}" if outcome.found is not None else ""
    if not wrong:
        count, wrong = explore_config.walks(range(walks))
        click.echo(f"{count} walks")
    click.echo(wrong or "nothing goes wrong")
    if wrong:
        sys.exit(BROKEN)


@click.command()
@click.option("--members", "size", default=3, show_default=True, type=click.Choice([3, 5]))
@click.option("--wanting", default=2, show_default=True, help="How many of them ask for the lease.")
@click.option("--forgetful", is_flag=True, help="Electors without directories.")
@click.option("--departures", default=1, show_default=True, help="All schedules with so many.")
@click.option("--states", default=1_000_000, show_default=True, help="At most.")
@click.option("--walks", default=0, show_default=True, help="Schedules by chance, after them.")
@click.option("--seconds", default=3.0, show_default=True, help="Of the small world's time.")
@click.option("--replay", "schedule", default="", help="Play this schedule instead.")
@click.option("--config", is_flag=True, help="Of versioned configuration: source, relays and sidecars.")
def explore(
    size: int,
    wanting: int,
    forgetful: bool,
    departures: int,
    states: int,
    walks: int,
    seconds: float,
    schedule: str,
    config: bool,
) -> None:
    """Model check of leases and decisions over the very cores; prints a failing schedule, shortest first."""
    if config:
        explore_versions(departures, states, walks)
        return
    from functools import partial

    from lupinmill.lab import explorer

    make = partial(explorer.AgreementWorld, size, min(size, wanting), not forgetful, int(seconds * 1_000_000))
    if schedule:
        wrong = explorer.replay(make, schedule)
        click.echo(wrong or "nothing goes wrong")
        sys.exit(BROKEN if wrong else 0)
    outcome = explorer.explore(make, departures, states)
    how = "all" if outcome.whole else "not all"
    click.echo(f"{outcome.states} states, {how} schedules with up to {outcome.departures} departures")
    found = outcome.found
    for seed in range(walks if found is None else 0):
        found = explorer.walk(make, seed, 0.1)
        if found is not None:
            click.echo(f"walk {seed}")
            break
    if found is not None:
        short = explorer.shortened(make, found)
        click.echo(f"BROKEN: {short.wrong}\n{short.text()}")
        sys.exit(BROKEN)
    click.echo(f"nothing broken, also in {walks} walks" if walks else "nothing broken")
