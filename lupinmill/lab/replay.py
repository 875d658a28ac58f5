"""Replays a result: reports whether all steps are the same, or the first second in which they differ."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lupinmill import terms as t
from lupinmill.lab import scenario
from lupinmill.lab.result import BadResult, Result
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual import EPOCH, VirtualRun, VirtualSidecar


@dataclass
class ReplayResult:
    same: bool
    differs_at: int | None  # second
    steps: int


def replay(
    found: Result,
    print_line: Callable[[str], None],
    step: int | None = None,
    request_id: str = "",
    around: int = 0,
) -> ReplayResult:
    """Replays a result and prints one step and `around` steps before and after it, or all steps that name a
    request."""
    if found.driver != "virtual":
        raise BadResult("only runs in virtual time can be replayed; sockets have no such steps")
    read = scenario.check(found.scenario, "the result's scenario")

    def trace(number: int, sidecar: VirtualSidecar, events: list[t.Event], commands: list[t.Command]) -> None:
        wanted = step is not None and abs(number - step) <= around
        if request_id and any(concerns(message, request_id) for message in (*events, *commands)):
            wanted = True
        if wanted:
            at = (sidecar.run.timeline.now - EPOCH) / SECOND
            print_line(f"step {number}  {at:.6f} s  {sidecar.name}")
            for event in events:
                print_line(f"    note   {event}")
            for command in commands:
                print_line(f"    order  {command}")

    run = VirtualRun(read, found.seed, found.policy, trace)
    last = len(found.digests)

    def tick(second: int, _: Any) -> None:
        if not found.complete and second >= last:
            run.stop = True

    run.tick = tick
    run.play()
    for at, (recorded, replayed) in enumerate(zip(found.digests, run.digests)):
        if recorded != replayed:
            return ReplayResult(False, at, run.steps)
    short = len(run.digests) < last
    return ReplayResult(not short, len(run.digests) if short else None, run.steps)


def concerns(message: Any, request_id: str) -> bool:
    return getattr(message, "request", None) == request_id
