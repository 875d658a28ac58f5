"""Result files: what was run, on which machine, by which version, and the results."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path
from typing import Any

import msgspec

from lupinmill.lab.metrics import Figures, Second
from lupinmill.lab.rule_checker import RuleViolation
from lupinmill.lab.scenario import Scenario

FORMAT = 1
MAX_RESULT_BYTES = 256 * 2**20


class BadResult(Exception):
    """The message is one line: file and reason."""


class TroublePeriod(msgspec.Struct):
    kind: str
    began: float
    ended: float
    what: str


class Result(msgspec.Struct):
    """The result of a run. `digests` holds the running checksum of the decision steps at each second of a
    virtual run; a replay has to reproduce all of them."""

    format: int
    version: str
    name: str
    scenario: dict[str, Any]
    seed: int
    policy: str
    driver: str
    machine: str
    complete: bool
    void: str
    rate: float
    capacity: float
    sidecars: int
    endpoints: int
    figures: Figures
    rules: dict[str, int]
    broken: list[RuleViolation]
    seconds: list[Second]
    troubles: list[TroublePeriod]
    notes: list[tuple[float, str, str]]
    steps: int
    digests: list[str]
    wall_s: float
    simulated_s: float

    def rules_kept(self) -> bool:
        return not any(self.rules.values())


def version() -> str:
    """Returns the commit of the checkout, marked if files differ from it; outside a checkout the package
    version."""
    root = Path(__file__).resolve().parents[2]
    try:
        found = subprocess.run(
            ["git", "-C", str(root), "describe", "--always", "--dirty", "--abbrev=10"],
            capture_output=True,
            text=True,
            timeout=10,
            check=True,
        )
        return found.stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return "0.1.0"


def machine() -> str:
    cores = len(os.sched_getaffinity(0))
    return f"{platform.machine()}, {cores} cores, Python {platform.python_version()}"


def from_run(
    run: Any, name: str, scenario: Scenario, seed: int, policy: str, driver: str, wall: float, complete: bool
) -> Result:
    """Collects the result of a run, complete or stopped."""
    world = run.world
    endpoints = [e for tier in world.tiers for e in tier]
    work_per_request, calls = 0.0, 1.0
    for at, tier in enumerate(world.tiers):
        calls *= world.calls[at] if at else 1.0
        work_per_request += tier[0].spec.work * calls
    total_work = sum(e.total_work + e.overhead_work for e in world.by_endpoint.values())
    rule_checker = world.rule_checker
    simulated = max(0.0, (run.timeline.now - world.start) / 1e6)
    return Result(
        format=FORMAT,
        version=version(),
        name=name,
        scenario=msgspec.to_builtins(scenario),
        seed=seed,
        policy=policy,
        driver=driver,
        machine=machine(),
        complete=complete,
        void=getattr(run, "void", ""),
        rate=world.rate,
        capacity=world.capacity(),
        sidecars=world.sidecars,
        endpoints=len(world.tiers[0]),
        figures=run.metrics.figures(
            scenario.goal, endpoints, rule_checker.doubled, total_work, work_per_request
        ),
        rules={str(rule): count for rule, count in rule_checker.counts.items()},
        broken=rule_checker.broken,
        seconds=run.metrics.seconds[: max(1, int(simulated) + 1)],
        troubles=[
            TroublePeriod(s.kind, round(s.began, 2), round(s.ended, 2), s.what) for s in world.trouble_records
        ],
        notes=run.notes,
        steps=run.steps,
        digests=run.digests,
        wall_s=round(wall, 3),
        simulated_s=round(simulated, 3),
    )


def comparable_bytes(one: Result) -> bytes:
    """Returns the part of a result that is byte for byte the same in each run of a seed: all but machine,
    wall time and version."""
    table = msgspec.to_builtins(one)
    for key in ("wall_s", "machine", "version"):
        table.pop(key)
    return msgspec.json.encode(table, order="sorted")


def write(path: str | Path, result: Result) -> None:
    """Writes the file atomically: readers never see a part of it."""
    target = Path(path)
    temporary = target.with_name(target.name + ".part")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    temporary.replace(target)


def read(path: str | Path) -> Result:
    """Reads a result file; raises BadResult with file and reason."""
    try:
        if Path(path).stat().st_size > MAX_RESULT_BYTES:
            raise BadResult(f"{path}: larger than any result")
        found = msgspec.json.decode(Path(path).read_bytes(), type=Result)
    except OSError as error:
        raise BadResult(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise BadResult(f"{path}: no result of this format: {error}") from error
    if found.format > FORMAT:
        raise BadResult(f"{path}: format {found.format} is newer than this program reads ({FORMAT})")
    return found
