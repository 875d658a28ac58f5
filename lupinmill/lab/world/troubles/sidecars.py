"""Troubles of the front sidecars: kills, rolling restarts, and lack of CPU time."""

from __future__ import annotations

from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble, batches


def some_sidecars(world: World, trouble: Trouble) -> list[int]:
    """Draws the numbers of the front sidecars that the trouble affects, at least one."""
    if world.driver is None:
        return []
    count = world.driver.sidecar_count()
    return [int(at) for at in trouble.stream.permutation(count)[: max(1, round(trouble.part * count))]]


def sidecar_roll(world: World, trouble: Trouble) -> None:
    """The share `part` of the sidecars is restarted, in batches of the share `size`; each is down for `extra`
    seconds."""
    if world.driver is None:
        return
    chosen = some_sidecars(world, trouble)
    groups = batches(chosen, max(1, round(trouble.size * world.driver.sidecar_count())))
    for number, members in enumerate(groups):
        for member in members:
            span = trouble.lasts * number / len(groups)
            world.timeline.after(span, world.driver.kill_sidecar, member, max(0.1, trouble.extra))


def sidecar_kill(world: World, trouble: Trouble) -> None:
    """They are killed, and restarted when the trouble ends."""
    if world.driver is not None:
        for member in some_sidecars(world, trouble):
            world.driver.kill_sidecar(member, trouble.lasts_s)


def sidecar_starved(world: World, trouble: Trouble) -> None:
    """They process events with a lag of `size` seconds."""
    if world.driver is not None:
        for member in some_sidecars(world, trouble):
            world.driver.starve_sidecar(member, trouble.size)
            world.timeline.after(trouble.lasts, world.driver.starve_sidecar, member, 0.0)
