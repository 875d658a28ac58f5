"""`lupinmill lab`: run, compare, sweep, report, replay and list."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinmill.cli.capacity import capacity
from lupinmill.cli.exit_codes import EXIT_BROKEN, EXIT_STOPPED, EXIT_VOID, exit_with_error
from lupinmill.cli.faults import faults
from lupinmill.cli.fleets import explore, fleet, members, zones
from lupinmill.cli.scale import slopes
from lupinmill.lab import result, scenario
from lupinmill.lab.earlier import NoSuchVersion
from lupinmill.lab.policies import POLICIES
from lupinmill.lab.result import BadResult, Result
from lupinmill.lab.scenario import BadScenario


def raise_interrupt(signum: int, frame: Any) -> None:
    raise KeyboardInterrupt


@click.group()
def lab() -> None:
    """Simulate and test: emulator, load, experiments, reports. All figures are of simulated servers."""
    signal.signal(signal.SIGTERM, raise_interrupt)  # like Ctrl-C: child processes are ended


@lab.command("list")
def list_() -> None:
    """List the shipped scenarios."""
    for name in scenario.shipped():
        click.echo(f"{name:<22} {scenario.load(name).title}")


@lab.command()
@click.argument("name", metavar="SCENARIO")
def check(name: str) -> None:
    """Check a scenario file; reports the file, key and reason of an error."""
    try:
        read = scenario.load(name)
    except BadScenario as error:
        exit_with_error(error)
    click.echo(f"{scenario.find(name).name}: good: {read.title}")


@lab.command()
def schema() -> None:
    """Print the JSON schema of the scenario format."""
    click.echo(msgspec.json.format(msgspec.json.encode(msgspec.json.schema(scenario.Scenario))).decode())


def print_second(second: int, measure: Any) -> None:
    """Prints one line per simulated second."""
    entry = measure.seconds[max(0, second - 1)]
    click.echo(
        f"{second:4d} s  asked {entry.asked:4d}  in time {entry.in_time:4d}  denied {entry.denied:4d}"
        f"  broken off {entry.broken:3d}  launches {entry.launches:4d}  held {entry.held:6.2f}"
        f"  set aside {entry.aside:3d}  endpoints {entry.alive:3d}"
    )


def print_summary(one: Result) -> None:
    f = one.figures
    click.echo(f"\n{one.scenario.get('title') or one.name} (seed {one.seed}, {one.policy}, {one.driver})")
    click.echo(
        f"  {one.sidecars} sidecars, {one.endpoints} endpoints, {one.rate:.0f} submissions a second, "
        f"{one.rate / max(one.capacity, 1e-9):.2f} of what the site can do; simulated servers"
    )
    for trouble in one.troubles:
        click.echo(
            f"  trouble: {trouble.kind}, {trouble.began:.1f} to {trouble.ended:.1f} s ({trouble.what})"
        )
    click.echo(f"  service {f.service:.3f}  worst 10 s {f.worst_window:.3f}  goal {f.goal:.3f}")
    click.echo("  by workload: " + ", ".join(f"{name} {part:.3f}" for name, part in f.by_workload.items()))
    if f.by_tenant:
        click.echo("  by tenant: " + ", ".join(f"{name} {part:.3f}" for name, part in f.by_tenant.items()))
    click.echo(
        f"  asked {f.asked}  handled {f.handled}, in time {f.in_time}  tries denied {f.denied}, "
        f"broken off {f.broken_off}, unreachable {f.unreachable}, unanswered {f.unanswered}"
    )
    if len(one.scenario["net"]["zones"]) > 1:
        crossed, launched = sum(s.crossed for s in one.seconds), sum(s.launches for s in one.seconds)
        click.echo(f"  launches that crossed zones: {crossed / max(1, launched):.3f} of all")
    click.echo(
        f"  launches a try {f.launches_per_submission:.2f}  probes {f.probes_per_submission:.2f}  "
        f"waste {f.waste:.3f}"
    )
    for name, points in f.latency_ms.items():
        click.echo(f"  {name}: " + "  ".join(f"{key} {ms:.0f} ms" for key, ms in points.items()))
    for b in one.broken:
        click.echo(f"  BROKEN rule {b.rule}: seed {one.seed}, second {b.second}, {b.what}: {b.text}")
    if one.void:
        click.echo(f"  VOID: {one.void}")
    if not one.complete:
        click.echo("  stopped before its end: these are the figures so far")
    if one.rules_kept():
        click.echo("  all four rules kept")
    pace = one.simulated_s / one.wall_s if one.wall_s else 0.0
    click.echo(
        f"  {one.simulated_s:.0f} s played in {one.wall_s:.1f} s ({pace:.1f} a second), version {one.version}"
    )


def exit_code(one: Result) -> int:
    if not one.rules_kept():
        return EXIT_BROKEN
    if one.void:
        return EXIT_VOID
    return 0 if one.complete else EXIT_STOPPED


@lab.command()
@click.argument("name", metavar="SCENARIO")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**62))
@click.option("--sockets", is_flag=True, help="Use real processes on loopback, in real time.")
@click.option("--peers", is_flag=True, help="With --sockets: the front sidecars are peers of each other.")
@click.option("--policy", default="lupinmill", show_default=True, type=click.Choice(list(POLICIES)))
@click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="Change a setting of the scenario."
)
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the result to this file.")
@click.option("--quiet", is_flag=True, help="Do not print a line per second.")
def run(
    name: str,
    seed: int,
    sockets: bool,
    peers: bool,
    policy: str,
    changes: tuple[str, ...],
    path: str | None,
    quiet: bool,
) -> None:
    """Run one scenario. Exit code 1 if a rule was broken, 3 if the run is void."""
    from lupinmill.lab import experiments

    if sockets and policy != "lupinmill":
        exit_with_error(BadScenario("--sockets runs the program itself; baselines run in virtual time only"))
    if peers and not sockets:
        exit_with_error(BadScenario("--peers requires --sockets; `lab fleet` runs peers in virtual time"))
    try:
        which = experiments.parse_variant(";".join(changes), name)
        read = which.read()
    except BadScenario as error:
        exit_with_error(error)
    one = experiments.play(read, name, seed, policy, sockets, None if quiet else print_second, peers=peers)
    print_summary(one)
    if path:
        result.write(path, one)
    sys.exit(exit_code(one))


def progress_bar(length: int, label: str) -> Any:
    return click.progressbar(length=length, label=label, file=sys.stderr)


def seed_list(count: int, first: int) -> list[int]:
    return list(range(first, first + count))


@lab.command()
@click.argument("name", metavar="SCENARIO")
@click.argument("first", metavar="A")
@click.argument("second", metavar="B", required=False, default="")
@click.option("--against", metavar="REV", help="Use the decision module of this earlier version as B.")
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(2, 1000))
@click.option("--first-seed", default=1, show_default=True)
@click.option("--jobs", default=0, help="Parallel runs; default: all cores.")
def compare(
    name: str, first: str, second: str, against: str | None, seeds: int, first_seed: int, jobs: int
) -> None:
    """Run two variants with the same seeds and print the difference with its 95% confidence interval.

    A and B are each a policy (lupinmill, fewest, ...) or settings (load.part=0.6;limits.copies=false).
    """
    from lupinmill.lab import experiments

    if bool(second) == bool(against):
        exit_with_error(BadScenario("either B or --against REV is required"))
    try:
        one = experiments.parse_variant(first, name)
        two = (
            experiments.parse_variant(second, name)
            if second
            else experiments.Variant(f"{against}", name, one.policy, one.changes, str(against))
        )
        if one.name == two.name:
            exit_with_error(BadScenario("A and B must differ"))
        for which in (one, two):
            which.read()
        with progress_bar(2 * seeds, f"{one.name} | {two.name}") as shown:
            found = experiments.compare(one, two, seed_list(seeds, first_seed), lambda: shown.update(1), jobs)
    except (BadScenario, NoSuchVersion) as error:
        exit_with_error(error)
    click.echo(f"{name}: {two.name} less {one.name}, {seeds} seeds paired")
    click.echo(f"  {'':24} {one.name[:14]:>14} {two.name[:14]:>14} {'difference':>11}   95% interval")
    for d in found.differences():
        sure = "" if d.low <= 0 <= d.high else "  *"
        click.echo(
            f"  {d.figure:24} {d.first:14.4f} {d.second:14.4f} {d.mean:+11.4f}   "
            f"[{d.low:+.4f}, {d.high:+.4f}]{sure}"
        )
    broken = any(not r.rules_kept() for results in found.results.values() for r in results.values())
    sys.exit(EXIT_BROKEN if broken else 0)


@lab.command()
@click.argument("names", metavar="SCENARIO...", nargs=-1, required=True)
@click.option(
    "--set", "settings", multiple=True, metavar="KEY=V1|V2", help="Values of a setting in the grid."
)
@click.option(
    "--policy", "policies", multiple=True, type=click.Choice(list(POLICIES)), default=("lupinmill",)
)
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--into", type=click.Path(file_okay=False), default="found/sweep", show_default=True)
@click.option("--jobs", default=0, help="Parallel runs; default: all cores.")
def sweep(
    names: tuple[str, ...],
    settings: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: int,
    into: str,
    jobs: int,
) -> None:
    """Run a grid of settings, policies and seeds over all cores; resumes where it was stopped."""
    from lupinmill.lab import experiments

    try:
        table = {}
        for text in settings:
            key, equals, values = text.partition("=")
            if not equals:
                raise BadScenario(f"--set {text}: expected KEY=V1|V2")
            table[key] = values.split("|")
        variants = [one for name in names for one in experiments.grid(name, table, list(policies))]
        for one in variants:
            one.read()
        with progress_bar(len(variants) * seeds, "runs") as shown:
            done = 0

            def on_progress(there: int, _: int) -> None:
                nonlocal done
                shown.update(there - done)
                done = there

            paths = experiments.sweep(variants, seed_list(seeds, 1), Path(into), on_progress, jobs)
        results = [result.read(path) for path in paths]
    except (BadScenario, BadResult) as error:
        exit_with_error(error)
    except KeyboardInterrupt:
        click.echo("stopped; run the same command again to resume", err=True)
        sys.exit(EXIT_STOPPED)
    print_sweep_table(variants, results, seeds)
    sys.exit(EXIT_BROKEN if any(not one.rules_kept() for one in results) else 0)


def print_sweep_table(variants: list[Any], results: list[Result], seeds: int) -> None:
    click.echo(
        f"  {'variant':52} {'service':>15} {'worst 10 s':>11} {'denied':>7} {'launches':>8}  rules broken"
    )
    for at, one in enumerate(variants):
        rows = results[at * seeds : (at + 1) * seeds]
        service = [row.figures.service for row in rows]

        def mean(value: Callable[[Result], float], rows: list[Result] = rows) -> float:
            return sum(map(value, rows)) / len(rows)

        click.echo(
            f"  {one.scenario + ': ' + one.name:52.52} {mean(lambda r: r.figures.service):.3f} "
            f"({min(service):.2f}-{max(service):.2f}) {mean(lambda r: r.figures.worst_window):9.3f} "
            f"{mean(lambda r: r.figures.denied / max(1, r.figures.asked)):7.3f} "
            f"{mean(lambda r: r.figures.launches_per_submission):8.2f}  "
            f"{sum(sum(row.rules.values()) for row in rows)}"
        )


@lab.command()
@click.argument("results", metavar="RESULT...", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--html", "path", default="report.html", show_default=True, type=click.Path(dir_okay=False))
def report(results: tuple[str, ...], path: str) -> None:
    """Write results as one self-contained HTML page."""
    from lupinmill.lab import report as pages

    try:
        found = [result.read(name) for name in results]
    except BadResult as error:
        exit_with_error(error)
    pages.write(path, found)
    click.echo(path)


@lab.command()
@click.argument("name", metavar="RESULT", type=click.Path(dir_okay=False))
@click.option("--step", type=click.IntRange(1), help="Print the notes and orders of this step.")
@click.option(
    "--around",
    default=0,
    type=click.IntRange(0, 1000),
    help="Also print this many steps before and after it.",
)
@click.option("--submission", default="", help="Print all steps that name this submission.")
def replay(name: str, step: int | None, around: int, submission: str) -> None:
    """Replay a result; exit code 1 if the steps differ."""
    from lupinmill.lab import replay as replays

    try:
        found = result.read(name)
        again = replays.replay(found, click.echo, step, submission, around)
    except (BadResult, BadScenario) as error:
        exit_with_error(error)
    if again.same:
        click.echo(f"the same {again.steps} steps")
        return
    click.echo(f"differs from second {again.differs_at} on (recorded by version {found.version})")
    sys.exit(EXIT_BROKEN)


@lab.command()
@click.option(
    "--clients", default="16,64,200,400", help="Closed loops: numbers of clients that send again at once."
)
@click.option("--times", default="0.5,1,1.5,3,6,0.5", help="Open loops: multiples of the measured capacity.")
@click.option("--seconds", default=5.0, show_default=True, help="Length of each loop.")
@click.option("--memory-mb", default=192, show_default=True)
@click.option("--against", metavar="REV", help="Measure an earlier version first, in the same run.")
def overload(clients: str, times: str, seconds: float, memory_mb: int, against: str | None) -> None:
    """Measure one sidecar on one core with idle endpoints: its capacity, and its behaviour beyond it."""
    from lupinmill.lab import earlier
    from lupinmill.lab import overload as loads

    try:
        counts = [int(one) for one in clients.split(",") if one]
        multiples = [float(one) for one in times.split(",") if one]
    except ValueError as error:
        exit_with_error(error)

    def play(label: str, root: Path) -> None:
        with loads.OverloadRig(root, memory_mb) as site:
            click.echo(f"{label}: closed loops\n{loads.table(loads.closed_loops(site, counts, seconds))}")
            carries = loads.measure_capacity(site)
            click.echo(f"{label}: open loops; it carries {carries:.0f} a second")
            click.echo(loads.table(loads.open_loops(site, carries, multiples, seconds)))
            click.echo(f"{label}: resident {site.resident_mb():.1f} MB, {site.cpu_seconds():.1f} s of CPU\n")

    try:
        if against:
            with earlier.worktree(against) as folder:
                play(against, Path(folder))
        play("this version", loads.ROOT)
    except NoSuchVersion as error:
        exit_with_error(error)


for command in (capacity, explore, faults, fleet, members, slopes, zones):
    lab.add_command(command)
