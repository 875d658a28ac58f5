"""`lupinmill lab slopes`: executes the runs of all sizes and seeds and collects the table and the file.

The pool has at most two processes, as the machine is shared. Runs that were skipped, stopped or failed are
listed in `partial`, in words."""

from __future__ import annotations

import importlib
import multiprocessing
import os
import subprocess
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from datetime import date
from pathlib import Path
from typing import Any

from lupinmill.lab.scale import checks, hollow, honest, loopback, runs
from lupinmill.lab.scale.book import FigureKey, Sample, SampleCollector, format_figure
from lupinmill.lab.scale.loopback import FleetRates
from lupinmill.lab.scale.measured import FILE, Added, Figure, Measured, Point
from lupinmill.lab.scale.reference import microseconds
from lupinmill.lab.scale.runs import Run

SIZES = (100, 300, 1_000, 3_000, 20_000)
QUICK_SIZES, QUICK_MAX_FULL_SIZE = (30, 100, 300), 100  # larger sizes run the quiet day alone
MIN_SIZE, MAX_SIZE = 20, 50_000
WORKER_PROCESSES = 2
MAX_START_SIZE = 3_000  # members; the start of a larger fleet takes too many minutes
MAX_ZONE_LOSS_SIZE = 1_000  # members, all simulated; above `MAX_ORDINARY_DAY_SIZE` with the first seed only
MAX_ORDINARY_DAY_SIZE = 300
ROSTER_SIZES = (5, 100, 1_000, 1_990)  # members in files read by real processes; the file's cap is 2,000
LIST_SIZES = (24, 840, 5_000, 20_000)
ZONE_COUNTS = (4, 8, 16, 20)
# Real sidecars, and as many hollow ones; length of a round in milliseconds; rounds counted. The quick
# comparison has longer rounds, of which a late wake-up on a shared machine is a smaller part.
COMPARISON, QUICK_COMPARISON = (30, 200, 100), (8, 400, 30)
COMPARISON_ATTEMPTS = 2  # a stalled machine spoils one attempt; a member that differs fails all
SOCKET_FLEET_SIZES = (100,)  # hollow members over sockets in one process; more need more than a core
MEMBERS_PART = "members"  # the part measured by this module
OTHER_PARTS = ("added", "returns", "fanout")  # modules of this package that have a `measure` function


class FleetTooLarge(ValueError):
    """The planned runs need too much memory. The message is one line."""


def machine_memory_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def estimated_memory_bytes(run: Run) -> int:
    """Upper estimate of the memory that a run takes."""
    if run.kind in ("quiet", "start", "zone lost", "ordinary"):
        whole = run.kind in ("ordinary", "zone lost")
        return hollow.memory_wanted(
            run.size, run.size if whole else runs.simulated_cores(run.size) or run.size
        )
    return run.size * 10_000


def check_memory(planned: list[Run], jobs: int = WORKER_PROCESSES, memory: int | None = None) -> None:
    """Checks that the largest concurrent runs fit in half of the memory. Raises FleetTooLarge."""
    half = (memory or machine_memory_bytes()) // 2
    most = sorted((estimated_memory_bytes(run) for run in planned), reverse=True)[:jobs]
    if sum(most) > half:
        worst = max(planned, key=estimated_memory_bytes)
        raise FleetTooLarge(
            f"--sizes {worst.size}: {worst.kind} may take {sum(most) // 2**20} MiB, over half of this "
            f"machine's memory"
        )


def plan_runs(sizes: list[int], seeds: list[int], quick: bool) -> list[Run]:
    """Most expensive runs first, so that the last ones don't leave a process idle."""
    found = []
    for seed in seeds:
        for size in sorted(sizes, reverse=True):
            found.append(Run("quiet", size, seed, 10 if quick else 0))
            if quick and size > QUICK_MAX_FULL_SIZE:
                continue
            found.append(Run("evidence", size, seed))
            if size <= MAX_START_SIZE:
                found.append(Run("start", size, seed))
            if size <= MAX_ZONE_LOSS_SIZE and (size <= MAX_ORDINARY_DAY_SIZE or seed == seeds[0]):
                found.append(Run("zone lost", size, seed))
            if size <= MAX_ORDINARY_DAY_SIZE and not quick:
                found.append(Run("ordinary", size, seed))
            found += [Run("state", size, seed), Run("file", size, seed)]
        if not quick:
            found += [Run("zones", zones, seed) for zones in ZONE_COUNTS]
            found += [Run("lists", endpoints, seed) for endpoints in LIST_SIZES]
            found += [Run("restart", members, seed, 8.0) for members in ROSTER_SIZES]
    return found


def commit_of(root: Path) -> str:
    """Commit of the measured source, with a + where the work tree has changes."""
    looks = ["rev-parse", "--short=12", "HEAD"], ["status", "--porcelain", "--", "lupinmill", f":!{FILE}"]
    try:
        head, dirty = (
            subprocess.run(["git", "-C", str(root), *look], capture_output=True, text=True, check=True).stdout
            for look in looks
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head.strip() + ("+" if dirty.strip() else "")


def measure(
    sizes: list[int],
    seeds: list[int],
    quick: bool,
    command: str,
    progress: Callable[[str], None],
    parts: tuple[str, ...] = (MEMBERS_PART, *OTHER_PARTS),
) -> tuple[Measured, list[str]]:
    """Returns the figures and the violations found. Parts not in `parts` are listed as not run.

    Raises FleetTooLarge."""
    commit = commit_of(Path(__file__).resolve().parents[3])
    measured = Measured(command, commit, date.today().isoformat(), seeds, 0.0, os.cpu_count() or 1)
    found: list[str] = []
    if MEMBERS_PART in parts:
        collector = SampleCollector()
        todo = plan_runs(sizes, seeds, quick)
        check_memory(todo)
        found = compare_real_and_hollow(*(QUICK_COMPARISON if quick else COMPARISON), collector, progress)
        if not quick:
            measure_over_sockets(collector, progress)
        execute_runs(todo, collector, progress)
        measured.figures, measured.reference_us = (
            collector.figures(),
            round(collector.median_reference_us(), 3),
        )
        if not quick:
            record_skipped_runs(measured, sizes)
        measured.partial += collector.partial
        found += checks.violations(measured.figures)
    else:
        measured.reference_us = round(microseconds(), 3)
    measure_other_parts(measured, seeds, [name for name in OTHER_PARTS if name in parts], progress, quick)
    measured.partial += [f"{name}: not run" for name in (MEMBERS_PART, *OTHER_PARTS) if name not in parts]
    return measured, found


def merge(old: Measured, new: Measured, parts: tuple[str, ...]) -> Measured:
    """The earlier file, with figures replaced where a run of some parts measured them again."""

    def key(figure: Figure) -> tuple[str, str, str, str]:
        return figure.role, figure.name, figure.day, figure.grows_with

    remeasured = {key(figure) for figure in new.figures}
    old.figures = [figure for figure in old.figures if key(figure) not in remeasured] + new.figures
    old.added = new.added or old.added
    prefixes = tuple(f"{part}:" for part in parts)
    old.partial = [text for text in old.partial if not text.startswith(prefixes)]
    old.partial += [text for text in new.partial if text.startswith(prefixes)]
    old.parts |= {part: f"{new.command}, text {new.commit}, {new.date}" for part in parts}
    return old


def record_skipped_runs(measured: Measured, sizes: list[int]) -> None:
    for size in sizes:
        if size > MAX_START_SIZE:
            measured.partial.append(f"start of {size} members: not run, it lasts for minutes of many cores")
        if size > MAX_ORDINARY_DAY_SIZE:
            measured.partial.append(f"ordinary day of {size} members: not run")
        if size > MAX_ZONE_LOSS_SIZE:
            measured.partial.append(f"zone of {size} members lost: not run, all cores are wanted for it")
    measured.partial.append("days not run: a rack, a region cut off, a release, control restarted")


@contextmanager
def process_pool(count: int) -> Iterator[ProcessPoolExecutor]:
    """A process pool whose workers, and the processes that they started, don't outlive the context."""
    pool = ProcessPoolExecutor(count)
    try:
        yield pool
    except BaseException:
        terminate_children()
        raise
    finally:
        pool.shutdown(cancel_futures=True)


def terminate_children() -> None:
    for child in multiprocessing.active_children():
        child.terminate()


def compare_real_and_hollow(
    members: int, round_ms: int, window: int, collector: SampleCollector, progress: Callable[[str], None]
) -> list[str]:
    """Runs real and hollow sidecars at the same time, so that both share the machine's load.

    Returns the differences beyond the tolerance in the last of `COMPARISON_ATTEMPTS`, in words."""
    found: list[str] = []
    notes: list[str] = []
    for _ in range(COMPARISON_ATTEMPTS):
        with process_pool(2) as pool:
            futures = [pool.submit(play, members, round_ms, window) for play in (honest.play, loopback.play)]
            try:
                real, hollow_ones = (one.result() for one in futures)
            except Exception as error:
                found = [f"real sidecars beside hollow ones: ended by {type(error).__name__} {error}"[:300]]
                notes += found
                continue
        notes.append(checks.summarize_comparison(real, hollow_ones))
        progress(f"  {notes[-1]}")
        found = honest.violations(real, hollow_ones)
        if not found or len(notes) == COMPARISON_ATTEMPTS:
            collector.add(side_samples(real, False, "; ".join(notes)) + side_samples(hollow_ones, True, ""))
        if not found:
            break
    return found


def measure_over_sockets(collector: SampleCollector, progress: Callable[[str], None]) -> None:
    for members in SOCKET_FLEET_SIZES:
        try:
            with process_pool(1) as pool:
                collector.add(side_samples(pool.submit(loopback.play, members).result(), True, ""))
        except Exception as error:
            collector.partial.append(
                f"{members} hollow ones over sockets: {type(error).__name__} {error}"[:200]
            )
        progress(f"  {members} hollow ones over sockets: done")


def side_samples(side: FleetRates, is_hollow: bool, note: str) -> list[Sample]:
    """The seed is 0, as these processes draw their own."""
    values = [
        ("cpu", "part of a core", side.cpu),
        ("messages out", "1/s", side.messages_out),
        ("messages in", "1/s", side.messages_in),
        ("bytes out", "bytes/s", side.bytes_out),
        ("bytes in", "bytes/s", side.bytes_in),
        ("rows", "rows", side.rows),
    ]
    if side.memory:
        values.append(("memory", "bytes", side.memory))
    return [
        Sample(
            FigureKey("sidecar", name, unit, "members", "quiet, sockets"),
            Point(side.members, 0, value, hollow=is_hollow),
            0.0,
            note,
        )
        for name, unit, value in values
    ]


def execute_runs(
    todo: list[Run], collector: SampleCollector, progress: Callable[[str], None], jobs: int = WORKER_PROCESSES
) -> None:
    with process_pool(jobs) as pool:
        futures = {pool.submit(run.execute): run for run in todo}
        try:
            for future in as_completed(futures):
                run = futures[future]
                try:
                    collector.add(future.result())
                except Exception as error:  # a failed run loses its own points only
                    text = f"{run.kind} at {run.size}, seed {run.seed}: {type(error).__name__} {error}"
                    collector.partial.append(text[:200])
                progress(f"  {run.kind} at {run.size}, seed {run.seed}: done")
        except KeyboardInterrupt:
            # Interrupted: finished runs are kept, the others are listed as partial.
            for future, run in futures.items():
                if not future.done():
                    collector.partial.append(
                        f"{run.kind} at {run.size}, seed {run.seed}: stopped before its end"
                    )
            terminate_children()


def measure_other_parts(
    measured: Measured,
    seeds: list[int],
    parts: list[str],
    progress: Callable[[str], None],
    quick: bool = False,
) -> None:
    """Runs the parts that have modules of their own. A missing module is listed as partial."""
    for name in parts:
        try:
            module: Any = importlib.import_module(f"lupinmill.lab.scale.{name}")
        except ModuleNotFoundError:
            measured.partial.append(f"{name}: not there, not run")
            continue
        try:
            found: tuple[list[Added], list[Figure]] | list[Figure]
            found = module.measure(quick, seeds, progress)
            if isinstance(found, tuple):
                measured.added += found[0]
                found = found[1]
            measured.figures += found
        except Exception as error:  # a failed part loses its own figures only
            measured.partial.append(f"{name}: ended by {type(error).__name__} {error}"[:200])


def format_table(measured: Measured) -> str:
    rows = [format_figure(figure) for figure in measured.figures]
    rows.append(
        f"reference loop {measured.reference_us:.1f} us a turn, {measured.cores} cores, "
        f"text {measured.commit}"
    )
    rows += [f"partial: {text}" for text in measured.partial]
    return "\n".join(rows)
