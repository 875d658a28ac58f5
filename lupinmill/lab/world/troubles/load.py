"""Troubles of the load: bursts of all clients, or of one tenant."""

from __future__ import annotations

from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble

STEP_S = 0.1  # between two updates of the load factor
MIN_LEVEL = 0.05  # share of its height at which a burst starts and ends


def burst(world: World, trouble: Trouble) -> None:
    """The load is multiplied by `size`, ramped up over `extra` seconds."""
    ramp(world, world.factors, trouble.name, trouble, world.timeline.now)


def tenant_burst(world: World, trouble: Trouble) -> None:
    """One tenant's load is multiplied by `size`, ramped up over `extra` seconds."""
    names = [tenant.name for tenant in world.scenario.tenant]
    name = trouble.event.tenant or names[int(trouble.stream.integers(len(names)))]
    ramp(world, world.tenant_factors, name, trouble, world.timeline.now)


def ramp(world: World, factors: dict[str, float], name: str, trouble: Trouble, began: int) -> None:
    """Updates the load factor: ramps up over `extra` seconds, and down over as many at the end."""
    lasts_s, rise_s = trouble.lasts_s, min(trouble.extra, trouble.lasts_s / 2)
    at = (world.timeline.now - began) / SECOND
    if at >= lasts_s:
        factors.pop(name, None)
        return
    level = 1.0
    if rise_s:
        level = min(1.0, max(MIN_LEVEL, at / rise_s), max(MIN_LEVEL, (lasts_s - at) / rise_s))
    factors[name] = 1 + (trouble.size - 1) * level
    span = min(STEP_S, lasts_s - at + 1e-6) * SECOND + 1
    world.timeline.after(span, ramp, world, factors, name, trouble, began)
