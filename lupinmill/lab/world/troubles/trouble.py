"""One trouble with its figures drawn, and the endpoints that it meets."""

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
    """`part` is the share of endpoints or sidecars that it meets; what `size` and `extra` say depends on the
    kind. `stream` is its own chance, `name` its own in this run."""

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
        """In microseconds."""
        return self.lasts_s * SECOND


Act = Callable[[World, Trouble], None]  # begins a trouble; what ends it is put on the timeline


def some_endpoints(world: World, trouble: Trouble) -> list[Endpoint]:
    """Its part of the tier, at least one, of those that live and do not drain."""
    alive = [e for e in world.tiers[trouble.tier] if e.alive and not e.draining]
    count = min(len(alive), max(1, round(trouble.part * len(alive))))
    return [alive[at] for at in sorted(trouble.stream.permutation(len(alive))[:count])]


def tier_or_all(world: World, trouble: Trouble) -> list[Endpoint]:
    """All endpoints of the tier that it names; of the site, where it names none."""
    tiers = [trouble.tier] if trouble.event.tier else range(len(world.tiers))
    return [e for at in tiers for e in world.tiers[at]]


def batches(chosen: list[int], size: int) -> list[list[int]]:
    """One after another, each of `size`, the last with what is left."""
    return [chosen[at : at + size] for at in range(0, len(chosen), size)]
