"""A result played again, to the very step: the same steps or the first second in which they differ."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lupinmill import terms as t
from lupinmill.lab import scenario
from lupinmill.lab.result import BadResult, Result
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual import EPOCH, VirtualSidecar, VirtualRun


@dataclass
class Replayed:
    same: bool
    differs_at: int | None  # second
    steps: int


def replay(
    found: Result, tell: Callable[[str], None], step: int | None = None, request_id: str = "", around: int = 0
) -> Replayed:
    """Plays it again and tells the asked step (and so many around it), or all that names a submission."""
    if found.driver != "virtual":
        raise BadResult("only runs in virtual time can be replayed; sockets have no such steps")
    read = scenario.check(found.scenario, "the result's scenario")

    def trace(number: int, seat: VirtualSidecar, events: list[t.Event], commands: list[t.Command]) -> None:
        wanted = step is not None and abs(number - step) <= around
        if request_id and any(names(one, request_id) for one in (*events, *commands)):
            wanted = True
        if wanted:
            at = (seat.run.timeline.now - EPOCH) / SECOND
            tell(f"step {number}  {at:.6f} s  {seat.name}")
            for event in events:
                tell(f"    note   {event}")
            for command in commands:
                tell(f"    order  {command}")

    run = VirtualRun(read, found.seed, found.policy, trace)
    last = len(found.digests)

    def tick(second: int, _: Any) -> None:
        if not found.complete and second >= last:
            run.stop = True

    run.tick = tick
    run.play()
    for at, (old, new) in enumerate(zip(found.digests, run.digests)):
        if old != new:
            return Replayed(False, at, run.steps)
    short = len(run.digests) < last
    return Replayed(not short, len(run.digests) if short else None, run.steps)


def names(one: Any, request_id: str) -> bool:
    return getattr(one, "request", None) == request_id
