"""One trouble with its parameters drawn, and the selection of endpoints that it affects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.scenario import Event
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.site import World


@dataclass(frozen=True)
class Trouble:
    """One trouble of a run. `part` is the share of endpoints or sidecars that it affects; the meaning of
    `size` and `extra` depends on the kind. `name` is unique in the run, and `stream` is its own random
    stream."""

    event: Event
    name: str
    tier: int
    lasts_s: float
    part: float
    size: float
    extra: float
    stream: np.random.Generator

    @property
    def lasts(self) -> float:
        """Duration in microseconds."""
        return self.lasts_s * SECOND


Act = Callable[[World, Trouble], None]  # starts a trouble and schedules its end


def some_endpoints(world: World, trouble: Trouble) -> list[Endpoint]:
    """Draws the affected endpoints of the tier, at least one, among those that are alive and not draining."""
    alive = [e for e in world.tiers[trouble.tier] if e.alive and not e.draining]
    count = min(len(alive), max(1, round(trouble.part * len(alive))))
    return [alive[at] for at in sorted(trouble.stream.permutation(len(alive))[:count])]


def tier_or_all(world: World, trouble: Trouble) -> list[Endpoint]:
    """Returns all endpoints of the tier that the trouble names, or of the whole site if it names none."""
    tiers = [trouble.tier] if trouble.event.tier else range(len(world.tiers))
    return [e for at in tiers for e in world.tiers[at]]


def batches(chosen: list[int], size: int) -> list[list[int]]:
    """Splits the numbers into batches of `size`; the last may be smaller."""
    return [chosen[at : at + size] for at in range(0, len(chosen), size)]
