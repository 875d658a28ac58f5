"""Compares modes of balancing between zones in virtual time: without a plan, by simple rules, by the common
plan, and with full knowledge. Trials of the same scenario and seed have the same arrivals and amounts of
work."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from statistics import mean
from typing import Any

from lupinmill.lab import virtual_peers
from lupinmill.lab.experiments import confidence_interval, nested_table
from lupinmill.lab.scenario import check, find, merge_tables, read_tables
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual import VirtualRun

COMPARED_FIGURES = ("service", "worst 10 s", "crossing", "denied")


@dataclass(frozen=True)
class Trial:
    scenario: str
    mode: str
    seed: int
    changes: tuple[tuple[str, str], ...] = ()


@dataclass
class TrialResult:
    trial: Trial
    figures: dict[str, float]
    broken: list[str] = field(default_factory=list)


def run_trial(trial: Trial) -> TrialResult:
    table = read_tables(find(trial.scenario))
    for key, value in trial.changes:
        table = merge_tables(table, nested_table(table, key, value, trial.scenario))
    scenario = check(table, trial.scenario)
    run = VirtualRun(scenario, trial.seed, commons=virtual_peers.peers_factory(trial.mode))
    run.play()
    endpoints = [e for tier in run.world.tiers for e in tier]
    found = run.metrics.figures(scenario.goal, endpoints, 0, 1.0, 1.0)
    seconds, rule_checker = run.metrics.seconds, run.world.rule_checker
    figures = {
        "service": found.service,
        "worst 10 s": found.worst_window,
        "crossing": sum(s.crossed for s in seconds) / max(1, sum(s.launches for s in seconds)),
        "denied": sum(s.denied for s in seconds) / max(1, sum(s.tries for s in seconds)),
        "fallen": float(len(rule_checker.collapsed)),
        **{f"service of {name}": part for name, part in found.by_workload.items()},
    }
    broken = [f"rule {b.rule}, second {b.second}, {b.what}: {b.text}" for b in rule_checker.broken]
    if isinstance(run.commons, virtual_peers.VirtualPeers):
        figures |= run.commons.figures()
        cuts = [record for record in run.world.trouble_records if record.kind == "zone_cut"]
        if cuts:
            figures["left after s"] = seconds_until_left(run, run.world.start + int(cuts[0].began * SECOND))
        broken += run.commons.violations
    return TrialResult(trial, figures, broken)


def seconds_until_left(run: Any, lost_at: int) -> float:
    """Seconds from a moment until a plan that leaves a zone is in force at all sidecars; NaN without such a
    plan."""
    records = [f for f in run.commons.plans.values() if f.left_zones and f.at >= lost_at]
    count = sum(cores.peer is not None for cores in run.commons.cores.values())
    spans = [max(f.known_at.values()) - lost_at for f in records if len(f.known_at) >= count]
    return min(spans) / SECOND if spans else float("nan")


def format_mode(name: str, rows: list[TrialResult]) -> str:
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
    echo: Callable[[str], None],
) -> dict[str, list[TrialResult]]:
    """Prints a line per mode, then the paired differences between `plan` and each other mode. `*` marks those
    whose interval excludes 0."""
    found: dict[str, list[TrialResult]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        trials = [Trial(scenario, mode, seed, changes) for mode in modes for seed in seeds]
        for result in pool.map(run_trial, trials):
            found.setdefault(result.trial.mode, []).append(result)
    for mode in modes:
        echo(format_mode(mode, found[mode]))
        for row in found[mode]:
            for text in row.broken[:3]:
                echo(f"  BROKEN: seed {row.trial.seed}, {text}")
    if "plan" in found:
        for mode in modes:
            if mode != "plan":
                parts = []
                for key in COMPARED_FIGURES:
                    pairs = [b.figures[key] - a.figures[key] for a, b in zip(found[mode], found["plan"])]
                    mean_difference, low, high = confidence_interval(pairs)
                    marker = "*" if low > 0 or high < 0 else ""
                    parts.append(f"{key} {mean_difference:+.3f} ({low:+.3f} to {high:+.3f}){marker}")
                echo(f"plan less {mode}, {len(seeds)} pairs: " + "  ".join(parts))
    return found
