"""`lupinmill lab slopes`: all runs of all sizes and seeds, the table, the file.

Owns the pool of processes, two at most: the machine is shared. What ended before its end, or is not there, is
told in `partial` in words."""

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
from lupinmill.lab.scale.book import Book, Key, Row, line
from lupinmill.lab.scale.loopback import FleetRates
from lupinmill.lab.scale.measured import FILE, Added, Figure, Measured, Point
from lupinmill.lab.scale.reference import microseconds
from lupinmill.lab.scale.runs import Run

SIZES = (100, 300, 1_000, 3_000, 20_000)
QUICK, QUICK_REST = (30, 100, 300), 100  # of the largest the quiet day alone
LEAST, MOST = 20, 50_000
JOBS = 2
LARGEST_START = 3_000  # members; a larger fleet's start takes more minutes than there are
LARGEST_LOST = 1_000  # whose cores are all played; beyond `LARGEST_ORDINARY` by the first seed alone
LARGEST_ORDINARY = 300
ROSTERS = (5, 100, 1_000, 1_990)  # of real processes: the file's cap is 2,000
LISTS = (24, 840, 5_000, 20_000)
ZONES = (4, 8, 16, 20)
# Real sidecars and as many hollow ones; a round in milliseconds; rounds counted. The quick one's round is
# longer, as a late wake-up on a shared machine is a smaller part of it.
BESIDE, QUICK_BESIDE = (30, 200, 100), (8, 400, 30)
TRIES = 2  # a machine that stalls disturbs one; a member that differs fails all
SOCKETS = (100,)  # hollow ones over sockets in one process; more want more than a core
MEMBERS = "members"  # the part that is measured here
OTHERS = ("added", "returns", "fanout")  # modules of this package with a `measure` of their own


class TooLarge(ValueError):
    """The text is the one line."""


def memory_of_machine() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def wanted(run: Run) -> int:
    """Bytes that a run may take, more rather than less."""
    if run.what in ("quiet", "start", "zone lost", "ordinary"):
        whole = run.what in ("ordinary", "zone lost")
        return hollow.memory_wanted(run.size, run.size if whole else runs.cores(run.size) or run.size)
    return run.size * 10_000


def refuse_too_large(plan: list[Run], jobs: int = JOBS, memory: int | None = None) -> None:
    """Before anything starts. Raises TooLarge."""
    half = (memory or memory_of_machine()) // 2
    most = sorted((wanted(run) for run in plan), reverse=True)[:jobs]
    if sum(most) > half:
        worst = max(plan, key=wanted)
        raise TooLarge(
            f"--sizes {worst.size}: {worst.what} may take {sum(most) // 2**20} MiB, over half of this "
            f"machine's memory"
        )


def plan(sizes: list[int], seeds: list[int], quick: bool) -> list[Run]:
    """The dearest first, so that the last ones don't leave a process idle."""
    found = []
    for seed in seeds:
        for size in sorted(sizes, reverse=True):
            found.append(Run("quiet", size, seed, 10 if quick else 0))
            if quick and size > QUICK_REST:
                continue
            found.append(Run("evidence", size, seed))
            if size <= LARGEST_START:
                found.append(Run("start", size, seed))
            if size <= LARGEST_LOST and (size <= LARGEST_ORDINARY or seed == seeds[0]):
                found.append(Run("zone lost", size, seed))
            if size <= LARGEST_ORDINARY and not quick:
                found.append(Run("ordinary", size, seed))
            found += [Run("state", size, seed), Run("file", size, seed)]
        if not quick:
            found += [Run("zones", zones, seed) for zones in ZONES]
            found += [Run("lists", endpoints, seed) for endpoints in LISTS]
            found += [Run("restart", members, seed, 8.0) for members in ROSTERS]
    return found


def commit_of(root: Path) -> str:
    """Of the text measured; with a + where it was changed since."""
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
    tell: Callable[[str], None],
    parts: tuple[str, ...] = (MEMBERS, *OTHERS),
) -> tuple[Measured, list[str]]:
    """Raises TooLarge. What `parts` leaves out is told."""
    commit = commit_of(Path(__file__).resolve().parents[3])
    measured = Measured(command, commit, date.today().isoformat(), seeds, 0.0, os.cpu_count() or 1)
    found: list[str] = []
    if MEMBERS in parts:
        book = Book()
        todo = plan(sizes, seeds, quick)
        refuse_too_large(todo)
        found = beside(*(QUICK_BESIDE if quick else BESIDE), book, tell)
        if not quick:
            over_sockets(book, tell)
        play_all(todo, book, tell)
        measured.figures, measured.reference_us = book.figures(), round(book.reference(), 3)
        if not quick:
            left_out(measured, sizes)
        measured.partial += book.partial
        found += checks.wrong(measured.figures)
    else:
        measured.reference_us = round(microseconds(), 3)
    others(measured, seeds, [name for name in OTHERS if name in parts], tell, quick)
    measured.partial += [f"{name}: not run" for name in (MEMBERS, *OTHERS) if name not in parts]
    return measured, found


def merged(old: Measured, new: Measured, parts: tuple[str, ...]) -> Measured:
    """The file as it was, with what one run of some parts measured anew in place of the same figures."""

    def key(figure: Figure) -> tuple[str, str, str, str]:
        return figure.role, figure.name, figure.day, figure.grows_with

    anew = {key(figure) for figure in new.figures}
    old.figures = [figure for figure in old.figures if key(figure) not in anew] + new.figures
    old.added = new.added or old.added
    told = tuple(f"{part}:" for part in parts)
    old.partial = [text for text in old.partial if not text.startswith(told)]
    old.partial += [text for text in new.partial if text.startswith(told)]
    old.parts |= {part: f"{new.command}, text {new.commit}, {new.date}" for part in parts}
    return old


def left_out(measured: Measured, sizes: list[int]) -> None:
    for size in sizes:
        if size > LARGEST_START:
            measured.partial.append(f"start of {size} members: not run, it lasts for minutes of many cores")
        if size > LARGEST_ORDINARY:
            measured.partial.append(f"ordinary day of {size} members: not run")
        if size > LARGEST_LOST:
            measured.partial.append(f"zone of {size} members lost: not run, all cores are wanted for it")
    measured.partial.append("days not run: a rack, a region cut off, a release, control restarted")


@contextmanager
def processes(count: int) -> Iterator[ProcessPoolExecutor]:
    """None of them outlives it, nor what they have started: they end it when they are told to end."""
    pool = ProcessPoolExecutor(count)
    try:
        yield pool
    except BaseException:
        end_children()
        raise
    finally:
        pool.shutdown(cancel_futures=True)


def end_children() -> None:
    for child in multiprocessing.active_children():
        child.terminate()


def beside(members: int, round_ms: int, window: int, book: Book, tell: Callable[[str], None]) -> list[str]:
    """Real sidecars and hollow ones at the same time, so that both have the machine alike; what is further
    apart than it may be in the last of `TRIES`, in words."""
    found: list[str] = []
    notes: list[str] = []
    for _ in range(TRIES):
        with processes(2) as pool:
            waiting = [pool.submit(play, members, round_ms, window) for play in (honest.play, loopback.play)]
            try:
                real, hollow_ones = (one.result() for one in waiting)
            except Exception as error:
                found = [f"real sidecars beside hollow ones: ended by {type(error).__name__} {error}"[:300]]
                notes += found
                continue
        notes.append(checks.compared(real, hollow_ones))
        tell(f"  {notes[-1]}")
        found = honest.wrong(real, hollow_ones)
        if not found or len(notes) == TRIES:
            book.add(of_side(real, False, "; ".join(notes)) + of_side(hollow_ones, True, ""))
        if not found:
            break
    return found


def over_sockets(book: Book, tell: Callable[[str], None]) -> None:
    for members in SOCKETS:
        try:
            with processes(1) as pool:
                book.add(of_side(pool.submit(loopback.play, members).result(), True, ""))
        except Exception as error:
            book.partial.append(f"{members} hollow ones over sockets: {type(error).__name__} {error}"[:200])
        tell(f"  {members} hollow ones over sockets: done")


def of_side(side: FleetRates, is_hollow: bool, note: str) -> list[Row]:
    """Seed 0: these draw their own."""
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
        Row(
            Key("sidecar", name, unit, "members", "quiet, sockets"),
            Point(side.members, 0, value, hollow=is_hollow),
            0.0,
            note,
        )
        for name, unit, value in values
    ]


def play_all(todo: list[Run], book: Book, tell: Callable[[str], None], jobs: int = JOBS) -> None:
    with processes(jobs) as pool:
        waiting = {pool.submit(run.play): run for run in todo}
        try:
            for done in as_completed(waiting):
                run = waiting[done]
                try:
                    book.add(done.result())
                except Exception as error:  # one run costs its points, never the others
                    text = f"{run.what} at {run.size}, seed {run.seed}: {type(error).__name__} {error}"
                    book.partial.append(text[:200])
                tell(f"  {run.what} at {run.size}, seed {run.seed}: done")
        except KeyboardInterrupt:
            # Stopped from outside: what is there is kept, what is not is told.
            for done, run in waiting.items():
                if not done.done():
                    book.partial.append(f"{run.what} at {run.size}, seed {run.seed}: stopped before its end")
            end_children()


def others(
    measured: Measured, seeds: list[int], parts: list[str], tell: Callable[[str], None], quick: bool = False
) -> None:
    """Figures of parts with files of their own; one that is not there is told."""
    for name in parts:
        try:
            module: Any = importlib.import_module(f"lupinmill.lab.scale.{name}")
        except ModuleNotFoundError:
            measured.partial.append(f"{name}: not there, not run")
            continue
        try:
            found: tuple[list[Added], list[Figure]] | list[Figure]
            found = module.measure(quick, seeds, tell)
            if isinstance(found, tuple):
                measured.added += found[0]
                found = found[1]
            measured.figures += found
        except Exception as error:  # theirs costs theirs
            measured.partial.append(f"{name}: ended by {type(error).__name__} {error}"[:200])


def table(measured: Measured) -> str:
    rows = [line(figure) for figure in measured.figures]
    rows.append(
        f"reference loop {measured.reference_us:.1f} us a turn, {measured.cores} cores, "
        f"text {measured.commit}"
    )
    rows += [f"partial: {text}" for text in measured.partial]
    return "\n".join(rows)
