"""Zones in virtual time by the seed: the same days without a plan, by simple rules, by the plan, and by one
that sees all. Pairs of the same seed have the same arrivals and works."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from statistics import mean
from typing import Any

from lupinmill.lab import commons
from lupinmill.lab.experiments import interval, nested
from lupinmill.lab.scenario import check, find, over, raw
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual import VirtualRun

WANTED = ("service", "worst 10 s", "crossing", "denied")


@dataclass(frozen=True)
class Day:
    scenario: str
    mode: str
    seed: int
    changes: tuple[tuple[str, str], ...] = ()


@dataclass
class Played:
    day: Day
    figures: dict[str, float]
    broken: list[str] = field(default_factory=list)


def play(day: Day) -> Played:
    table = raw(find(day.scenario))
    for key, value in day.changes:
        table = over(table, nested(table, key, value, day.scenario))
    read = check(table, day.scenario)
    run = VirtualRun(read, day.seed, commons=commons.of(day.mode))
    run.play()
    endpoints = [e for tier in run.world.tiers for e in tier]
    found = run.measure.figures(read.goal, endpoints, 0, 1.0, 1.0)
    seconds, referee = run.measure.seconds, run.world.referee
    figures = {
        "service": found.service,
        "worst 10 s": found.worst_window,
        "crossing": sum(s.crossed for s in seconds) / max(1, sum(s.launches for s in seconds)),
        "denied": sum(s.denied for s in seconds) / max(1, sum(s.tries for s in seconds)),
        "fallen": float(len(referee.fallen)),
        **{f"service of {name}": part for name, part in found.by_workload.items()},
    }
    broken = [f"rule {b.rule}, second {b.second}, {b.what}: {b.text}" for b in referee.broken]
    if isinstance(run.commons, commons.Together):
        figures |= run.commons.figures()
        cuts = [record for record in run.world.trouble_records if record.kind == "zone_cut"]
        if cuts:
            figures["left after s"] = left_after(run, run.world.start + int(cuts[0].began * SECOND))
        broken += run.commons.broken
    return Played(day, figures, broken)


def left_after(run: Any, lost_at: int) -> float:
    """Seconds from a moment until a plan that leaves a zone is in force everywhere; nan: there was none."""
    force = [f for f in run.commons.versions.values() if f.left and f.at >= lost_at]
    count = sum(post.peer is not None for post in run.commons.posts.values())
    spans = [max(f.known.values()) - lost_at for f in force if len(f.known) >= count]
    return min(spans) / SECOND if spans else float("nan")


def line(name: str, rows: list[Played]) -> str:
    parts = []
    for key in dict.fromkeys(key for row in rows for key in row.figures):
        values = [row.figures[key] for row in rows]
        parts.append(f"{key} {mean(values):.3f} ({min(values):.3f} to {max(values):.3f})")
    return f"{name:6} " + "  ".join(parts)


def compare_modes(
    scenario: str,
    modes: list[str],
    seeds: list[int],
    changes: tuple[tuple[str, str], ...],
    jobs: int,
    say: Callable[[str], None],
) -> dict[str, list[Played]]:
    """Prints a line a mode, then the paired differences of `plan` to each other mode."""
    found: dict[str, list[Played]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        days = [Day(scenario, mode, seed, changes) for mode in modes for seed in seeds]
        for played in pool.map(play, days):
            found.setdefault(played.day.mode, []).append(played)
    for mode in modes:
        say(line(mode, found[mode]))
        for row in found[mode]:
            for text in row.broken[:3]:
                say(f"  BROKEN: seed {row.day.seed}, {text}")
    if "plan" in found:
        for mode in modes:
            if mode != "plan":
                parts = []
                for key in WANTED:
                    pairs = [b.figures[key] - a.figures[key] for a, b in zip(found[mode], found["plan"])]
                    middle, low, high = interval(pairs)
                    star = "*" if low > 0 or high < 0 else ""
                    parts.append(f"{key} {middle:+.3f} ({low:+.3f} to {high:+.3f}){star}")
                say(f"plan less {mode}, {len(seeds)} pairs: " + "  ".join(parts))
    return found
