"""Experiments: variants of a scenario over the same seeds, with confidence intervals of the differences."""

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
    """A scenario with a policy and changed settings; `revision` is a commit whose decision module is used."""

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
    """Returns the nested tables for a setting such as `load.part=0.6`; list items are addressed by their
    name: `tier.endpoints.count=8`."""
    value = plain_value(text)
    parts = key.split(".")
    found: Any = table
    path_parts: list[tuple[str, bool]] = []
    while parts:
        part = parts.pop(0)
        rows = found.get(part) if isinstance(found, dict) else None
        if isinstance(rows, list) and scenario.are_named_tables(rows) and parts:
            name = parts.pop(0)
            row = next((row for row in rows if row["name"] == name), None)
            if row is None:
                raise BadScenario(f"{where}: {key}: no {part} is named {name!r}")
            path_parts += [(part, False), (name, True)]
            found = row
        else:
            path_parts.append((part, False))
            found = rows if isinstance(rows, dict) else {}
    for part, is_name in reversed(path_parts):
        value = [{"name": part, **value}] if is_name else {part: value}
    return value


def plain_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def parse_variant(text: str, base: str, name: str = "") -> Variant:
    """Parses a policy (`fewest`), a setting (`load.part=0.6`), or several of them joined by `;`. The value
    of a setting may contain commas."""
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
    """Runs a scenario once. Ctrl-C stops it; the partial result is marked as not complete."""
    began = time.monotonic()
    run: Any = SocketRun(read, seed, tick, peers) if sockets else VirtualRun(read, seed, policy, trace, tick)
    complete = True
    try:
        run.play()
    except KeyboardInterrupt:
        complete = False
    driver = "sockets" if sockets else "virtual"
    return result.from_run(run, name, read, seed, policy, driver, time.monotonic() - began, complete)


def play_variant(variant: Variant, seed: int) -> tuple[Variant, int, Result]:
    return variant, seed, play(variant.read(), variant.scenario, seed, variant.policy)


def available_cores() -> int:
    return len(os.sched_getaffinity(0))


def play_in_processes(
    jobs: list[tuple[Variant, int]], folder: str = "", max_workers: int = 0
) -> Iterator[tuple[Variant, int, Result]]:
    """Runs all jobs in worker processes and yields results as they complete. With `folder`, the workers load
    the decision module from that tree."""
    context = multiprocessing.get_context("spawn")
    worker_setup = (earlier.take_from, (folder,)) if folder else (None, ())
    with ProcessPoolExecutor(
        max_workers or available_cores(), context, initializer=worker_setup[0], initargs=worker_setup[1]
    ) as pool:
        futures = [pool.submit(play_variant, variant, seed) for variant, seed in jobs]
        try:
            for done in as_completed(futures):
                yield done.result()
        finally:
            for one in futures:
                one.cancel()


@dataclass
class Difference:
    """The difference of one figure, second variant minus first, over paired seeds."""

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


def confidence_interval(values: list[float], confidence: float = 0.95) -> tuple[float, float, float]:
    """Returns the mean and its confidence interval by Student's t distribution; for a single value the
    interval is infinite."""
    from scipy import stats

    count = len(values)
    mean = sum(values) / count if count else 0.0
    if count < 2:
        return mean, float("-inf"), float("inf")
    spread = sqrt(sum((value - mean) ** 2 for value in values) / (count - 1) / count)
    half_width = float(stats.t.ppf((1 + confidence) / 2, count - 1)) * spread
    return mean, mean - half_width, mean + half_width


def compare(
    first: Variant,
    second: Variant,
    seeds: list[int],
    on_result: Callable[[], None] | None = None,
    max_workers: int = 0,
) -> Comparison:
    """Runs both variants over the same seeds. If the second has a revision, it uses the decision module of
    that."""
    found = Comparison(first, second, {first.name: {}, second.name: {}})

    def gather(jobs: list[tuple[Variant, int]], folder: str = "") -> None:
        for variant, seed, one in play_in_processes(jobs, folder, max_workers):
            found.results[variant.name][seed] = one
            if on_result is not None:
                on_result()

    if second.revision:
        gather([(first, seed) for seed in seeds])
        with earlier.worktree(second.revision) as folder:
            gather([(second, seed) for seed in seeds], folder)
    else:
        gather([(variant, seed) for seed in seeds for variant in (first, second)])
    return found


def grid(base: str, settings: dict[str, list[str]], policies: list[str]) -> list[Variant]:
    """Returns all combinations of the settings' values, for each policy."""
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


def file_name(variant: Variant, seed: int) -> str:
    """Returns a name that is determined by the run and the version, so that a sweep can resume."""
    text = msgspec.json.encode([variant.table(), variant.policy, seed, result.version()])
    return (
        f"{Path(variant.scenario).stem}-{variant.policy}-{seed}-{hashlib.sha256(text).hexdigest()[:16]}.json"
    )


def sweep(
    variants: list[Variant],
    seeds: list[int],
    folder: Path,
    on_progress: Callable[[int, int], None],
    max_workers: int = 0,
) -> list[Path]:
    """Runs what has no complete result in `folder` yet; `on_progress` is called with the number of results
    and their total."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = {(variant, seed): folder / file_name(variant, seed) for variant in variants for seed in seeds}
    jobs = [job for job, path in paths.items() if not is_complete(path)]
    completed = len(paths) - len(jobs)
    on_progress(completed, len(paths))
    for variant, seed, one in play_in_processes(jobs, max_workers=max_workers):
        result.write(paths[(variant, seed)], one)
        completed += 1
        on_progress(completed, len(paths))
    return list(paths.values())


def is_complete(path: Path) -> bool:
    try:
        return path.is_file() and result.read(path).complete
    except result.BadResult:
        return False
