"""Runs beside one another: variants of a scenario, the same seeds paired, and what the differences are
worth."""

from __future__ import annotations

import hashlib
import multiprocessing
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from math import sqrt
from pathlib import Path
from typing import Any

import msgspec

from lupinmill.lab import earlier, result, scenario
from lupinmill.lab.policies import POLICIES
from lupinmill.lab.result import Result
from lupinmill.lab.scenario import BadScenario, Scenario
from lupinmill.lab.sockets import SocketRun
from lupinmill.lab.virtual import VirtualRun

MAX_RUNS = 100_000


@dataclass(frozen=True)
class Variant:
    """A scenario with a policy and settings changed; `revision` names an earlier decision module."""

    name: str
    scenario: str
    policy: str = "lupinmill"
    changes: tuple[tuple[str, str], ...] = ()
    revision: str = ""

    def table(self) -> dict[str, Any]:
        path = scenario.find(self.scenario)
        table = scenario.read_tables(path)
        for key, value in self.changes:
            table = scenario.merge_tables(table, nested_table(table, key, value, str(path)))
        return table

    def read(self) -> Scenario:
        return scenario.check(self.table(), f"{self.scenario} ({self.name})")


def nested_table(table: dict[str, Any], key: str, text: str, where: str) -> dict[str, Any]:
    """`load.part=0.6` as tables; a part of a list goes by its name: `tier.endpoints.count=8`."""
    value = plain_value(text)
    parts = key.split(".")
    found: Any = table
    wrap: list[tuple[str, bool]] = []
    while parts:
        part = parts.pop(0)
        rows = found.get(part) if isinstance(found, dict) else None
        if isinstance(rows, list) and scenario.are_named_tables(rows) and parts:
            name = parts.pop(0)
            row = next((row for row in rows if row["name"] == name), None)
            if row is None:
                raise BadScenario(f"{where}: {key}: no {part} is named {name!r}")
            wrap += [(part, False), (name, True)]
            found = row
        else:
            wrap.append((part, False))
            found = rows if isinstance(rows, dict) else {}
    for part, is_name in reversed(wrap):
        value = [{"name": part, **value}] if is_name else {part: value}
    return value


def plain_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def variant(text: str, base: str, name: str = "") -> Variant:
    """`lupinmill`, `fewest`, `load.part=0.6`, or several of them joined by `;`. A setting may hold commas."""
    policy, changes, found = "lupinmill", [], base
    for part in filter(None, (piece.strip() for piece in text.split(";"))):
        key, equals, value = part.partition("=")
        if equals:
            changes.append((key.strip(), value.strip()))
        elif part in POLICIES:
            policy = part
        else:
            raise BadScenario(f"{part!r}: neither key=value nor a policy ({', '.join(POLICIES)})")
    return Variant(name or text or "as it stands", found, policy, tuple(changes))


def play(
    read: Scenario,
    name: str,
    seed: int,
    policy: str = "lupinmill",
    sockets: bool = False,
    tick: Callable[[int, Any], None] | None = None,
    trace: Callable[..., None] | None = None,
    peers: bool = False,
) -> Result:
    """One run; a stop by Ctrl-C leaves what there is of it, marked as not complete."""
    began = time.monotonic()
    run: Any = SocketRun(read, seed, tick, peers) if sockets else VirtualRun(read, seed, policy, trace, tick)
    complete = True
    try:
        run.play()
    except KeyboardInterrupt:
        complete = False
    driver = "sockets" if sockets else "virtual"
    return result.from_run(run, name, read, seed, policy, driver, time.monotonic() - began, complete)


def play_variant(which: Variant, seed: int) -> tuple[Variant, int, Result]:
    return which, seed, play(which.read(), which.scenario, seed, which.policy)


def workers() -> int:
    return len(os.sched_getaffinity(0))


def play_in_processes(
    jobs: list[tuple[Variant, int]], folder: str = "", most: int = 0
) -> Iterator[tuple[Variant, int, Result]]:
    """All runs over all cores, as they end. With `folder`, processes take the decision module from that
    tree."""
    context = multiprocessing.get_context("spawn")
    start = (earlier.take_from, (folder,)) if folder else (None, ())
    with ProcessPoolExecutor(most or workers(), context, initializer=start[0], initargs=start[1]) as pool:
        waiting = [pool.submit(play_variant, which, seed) for which, seed in jobs]
        try:
            for done in as_completed(waiting):
                yield done.result()
        finally:
            for one in waiting:
                one.cancel()


@dataclass
class Difference:
    """Of one figure, the second variant less the first, over paired seeds."""

    figure: str
    first: float
    second: float
    mean: float
    low: float
    high: float
    pairs: int


@dataclass
class Comparison:
    first: Variant
    second: Variant
    results: dict[str, dict[int, Result]] = field(default_factory=dict)

    def differences(self) -> list[Difference]:
        found = []
        one, two = self.results[self.first.name], self.results[self.second.name]
        seeds = sorted(set(one) & set(two))
        for figure, value in FIGURES.items():
            pairs = [(value(one[seed]), value(two[seed])) for seed in seeds]
            mean, low, high = confidence_interval([b - a for a, b in pairs])
            first, second = (sum(pair[at] for pair in pairs) / max(1, len(pairs)) for at in (0, 1))
            found.append(Difference(figure, first, second, mean, low, high, len(pairs)))
        return found


FIGURES: dict[str, Callable[[Result], float]] = {
    "service": lambda r: r.figures.service,
    "goal": lambda r: r.figures.goal,
    "worst 10 s": lambda r: r.figures.worst_window,
    "denied a submission": lambda r: r.figures.denied / max(1, r.figures.asked),
    "launches a submission": lambda r: r.figures.launches_per_submission,
    "waste": lambda r: r.figures.waste,
    "rules broken": lambda r: float(sum(r.rules.values())),
}


def confidence_interval(values: list[float], level: float = 0.95) -> tuple[float, float, float]:
    """Mean and its confidence interval by Student's t; one value alone has none, and an endless interval says
    so."""
    from scipy import stats

    count = len(values)
    mean = sum(values) / count if count else 0.0
    if count < 2:
        return mean, float("-inf"), float("inf")
    spread = sqrt(sum((value - mean) ** 2 for value in values) / (count - 1) / count)
    reach = float(stats.t.ppf((1 + level) / 2, count - 1)) * spread
    return mean, mean - reach, mean + reach


def compare(
    first: Variant, second: Variant, seeds: list[int], heard: Callable[[], None] | None = None, most: int = 0
) -> Comparison:
    """Both over the same seeds. Where the second names a revision, its decision module comes from there."""
    found = Comparison(first, second, {first.name: {}, second.name: {}})

    def gather(jobs: list[tuple[Variant, int]], folder: str = "") -> None:
        for which, seed, one in play_in_processes(jobs, folder, most):
            found.results[which.name][seed] = one
            if heard is not None:
                heard()

    if second.revision:
        gather([(first, seed) for seed in seeds])
        with earlier.worktree(second.revision) as folder:
            gather([(second, seed) for seed in seeds], folder)
    else:
        gather([(which, seed) for seed in seeds for which in (first, second)])
    return found


def grid(base: str, settings: dict[str, list[str]], policies: list[str]) -> list[Variant]:
    """Each value of each setting with each of the others, for each policy."""
    combined: list[tuple[tuple[str, str], ...]] = [()]
    for key, values in settings.items():
        combined = [before + ((key, value),) for before in combined for value in values]
        if len(combined) * len(policies) > MAX_RUNS:
            raise BadScenario(f"the grid has more than {MAX_RUNS} variants")
    return [
        Variant("; ".join([policy, *(f"{key}={value}" for key, value in changes)]), base, policy, changes)
        for changes in combined
        for policy in policies
    ]


def file_name(which: Variant, seed: int) -> str:
    """The same for the same run of the same version: a sweep that was stopped goes on where it was."""
    text = msgspec.json.encode([which.table(), which.policy, seed, result.version()])
    return f"{Path(which.scenario).stem}-{which.policy}-{seed}-{hashlib.sha256(text).hexdigest()[:16]}.json"


def sweep(
    variants: list[Variant], seeds: list[int], folder: Path, heard: Callable[[int, int], None], most: int = 0
) -> list[Path]:
    """Plays what `folder` does not hold yet; `heard` is told how many of how many there are."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = {(which, seed): folder / file_name(which, seed) for which in variants for seed in seeds}
    jobs = [job for job, path in paths.items() if not whole(path)]
    there = len(paths) - len(jobs)
    heard(there, len(paths))
    for which, seed, one in play_in_processes(jobs, most=most):
        result.write(paths[(which, seed)], one)
        there += 1
        heard(there, len(paths))
    return list(paths.values())


def whole(path: Path) -> bool:
    try:
        return path.is_file() and result.read(path).complete
    except result.BadResult:
        return False
