"""`lupinmill lab fleet`, `zones`, `members` and `explore`: sidecars that know each other."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from lupinmill.cli.exit_codes import EXIT_BROKEN, exit_with_error
from lupinmill.lab import scenario
from lupinmill.lab.scenario import BadScenario


@click.command("fleet")
@click.argument("name", metavar="SCENARIO")
@click.option(
    "--seed", default=None, type=click.IntRange(0, 2**31), help="Default: the seed of the scenario."
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of runs, with consecutive seeds.",
)
@click.option(
    "--sockets", is_flag=True, help="Use real processes with a relay between every two, in real time."
)
@click.option("--html", "page", type=click.Path(dir_okay=False), help="Write the last run as an HTML page.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the result of the last run.")
def fleet(name: str, seed: int | None, seeds: int, sockets: bool, page: str | None, path: str | None) -> None:
    """Run a fleet of sidecars that know each other, with faults between them; `random` draws the faults from
    the seed. Exit code 1 if an invariant was broken."""
    import asyncio

    from lupinmill.lab import fleet as scenarios
    from lupinmill.lab import fleet_sockets, fleet_virtual

    try:
        read = None if name == "random" else scenarios.load(name)
    except scenarios.FleetError as error:
        exit_with_error(error)
    broken = False
    first = seed if seed is not None else read.seed if read is not None else 1
    for number in range(first, first + seeds):
        read = scenarios.random_fleet(number) if name == "random" else read
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
    sys.exit(EXIT_BROKEN if broken else 0)


@click.command("zones")
@click.argument("name", metavar="SCENARIO", default="zone-loss")
@click.option("--modes", default="off,near,alone,plan,sight", show_default=True, help="Modes to compare.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="Change a setting of the scenario."
)
@click.option("--jobs", default=0, help="Parallel runs; default: all cores.")
def zones(name: str, modes: str, seeds: int, changes: tuple[str, ...], jobs: int) -> None:
    """Compare zone modes in virtual time: off, near only, each sidecar alone, common plan, full view.

    Exit code 1 if a rule was broken or two sidecars held the same epoch.
    """
    import os

    from lupinmill.lab import virtual_peers, zones_measure

    chosen = modes.split(",")
    try:
        scenario.load(name)
        if wrong := [mode for mode in chosen if mode not in virtual_peers.MODES]:
            raise ValueError(f"--modes {wrong[0]}: one of {', '.join(virtual_peers.MODES)}")
        pairs = tuple((key.strip(), value.strip()) for key, _, value in (c.partition("=") for c in changes))
        found = zones_measure.compare_modes(
            name, chosen, list(range(1, seeds + 1)), pairs, jobs or os.cpu_count() or 1, click.echo
        )
    except (BadScenario, ValueError) as error:
        exit_with_error(error)
    sys.exit(EXIT_BROKEN if any(row.broken for rows in found.values() for row in rows) else 0)


@click.command()
@click.option("--kind", "kinds", multiple=True, help="Rows: death, quiet, 'loss 10%', ...; default: all.")
@click.option("--sizes", default="10,100", show_default=True, help="Numbers of members.")
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=300.0, show_default=True, help="Simulated time of the rows with loss.")
@click.option("--jobs", default=0, help="Parallel runs; default: all cores.")
def members(kinds: tuple[str, ...], sizes: str, seeds: int, seconds: float, jobs: int) -> None:
    """Measure membership by fleet size, in virtual time, next to the theoretical figures."""
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
        exit_with_error(error)
    chosen = list(kinds) or list(fleet_measure.KINDS)
    fleet_measure.table(chosen, counts, seeds, seconds, jobs or os.cpu_count() or 1, click.echo)


def explore_config_versions(departures: int, states: int, walks: int) -> None:
    from lupinmill.lab import explore_config

    outcome = explore_config.check(departures, states)
    how = "all" if outcome.complete else "not all"
    click.echo(f"{outcome.states} states, {how} schedules with up to {outcome.departures} departures")
    wrong = f"{outcome.failure.violation}: {outcome.failure.text()}" if outcome.failure is not None else ""
    if not wrong:
        count, wrong = explore_config.walks(range(walks))
        click.echo(f"{count} walks")
    click.echo(wrong or "nothing goes wrong")
    if wrong:
        sys.exit(EXIT_BROKEN)


@click.command()
@click.option("--members", "size", default=3, show_default=True, type=click.Choice([3, 5]))
@click.option("--wanting", default=2, show_default=True, help="Number of members that request the lease.")
@click.option("--forgetful", is_flag=True, help="Electors without stable storage.")
@click.option(
    "--departures",
    default=1,
    show_default=True,
    help="Explore all schedules with up to this many departures.",
)
@click.option("--states", default=1_000_000, show_default=True, help="Upper bound of explored states.")
@click.option("--walks", default=0, show_default=True, help="Number of random schedules afterwards.")
@click.option("--seconds", default=3.0, show_default=True, help="Simulated time of a schedule.")
@click.option("--replay", "schedule", default="", help="Replay this schedule instead.")
@click.option(
    "--config", is_flag=True, help="Check versioned configuration instead: source, relays and sidecars."
)
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
    """Model-check leases and decisions on the production code; prints the shortest failing schedule."""
    if config:
        explore_config_versions(departures, states, walks)
        return
    from functools import partial

    from lupinmill.lab import explorer

    make = partial(explorer.AgreementWorld, size, min(size, wanting), not forgetful, int(seconds * 1_000_000))
    if schedule:
        wrong = explorer.replay(make, schedule)
        click.echo(wrong or "nothing goes wrong")
        sys.exit(EXIT_BROKEN if wrong else 0)
    outcome = explorer.explore(make, departures, states)
    how = "all" if outcome.complete else "not all"
    click.echo(f"{outcome.states} states, {how} schedules with up to {outcome.departures} departures")
    found = outcome.failure
    for seed in range(walks if found is None else 0):
        found = explorer.walk(make, seed, 0.1)
        if found is not None:
            click.echo(f"walk {seed}")
            break
    if found is not None:
        short = explorer.shrink(make, found)
        click.echo(f"BROKEN: {short.violation}\n{short.text()}")
        sys.exit(EXIT_BROKEN)
    click.echo(f"nothing broken, also in {walks} walks" if walks else "nothing broken")
