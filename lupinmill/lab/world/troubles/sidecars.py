"""Troubles of the front sidecars: killed, replaced in turn, or short of time."""

from __future__ import annotations

from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble, batches


def some_sidecars(world: World, trouble: Trouble) -> list[int]:
    """The numbers of its part of the front sidecars, at least one."""
    if world.driver is None:
        return []
    count = world.driver.sidecar_count()
    return [int(at) for at in trouble.stream.permutation(count)[: max(1, round(trouble.part * count))]]


def sidecar_roll(world: World, trouble: Trouble) -> None:
    """`part` of the sidecars is replaced, in batches of `size` of them, each down for `extra` seconds."""
    if world.driver is None:
        return
    chosen = some_sidecars(world, trouble)
    rounds = batches(chosen, max(1, round(trouble.size * world.driver.sidecar_count())))
    for number, members in enumerate(rounds):
        for member in members:
            span = trouble.lasts * number / len(rounds)
            world.timeline.after(span, world.driver.kill_sidecar, member, max(0.1, trouble.extra))


def sidecar_kill(world: World, trouble: Trouble) -> None:
    """They are killed, and start again when the trouble ends."""
    if world.driver is not None:
        for member in some_sidecars(world, trouble):
            world.driver.kill_sidecar(member, trouble.lasts_s)


def sidecar_starved(world: World, trouble: Trouble) -> None:
    """They come to what has happened with a lag of `size` seconds."""
    if world.driver is not None:
        for member in some_sidecars(world, trouble):
            world.driver.starve_sidecar(member, trouble.size)
            world.timeline.after(trouble.lasts, world.driver.starve_sidecar, member, 0.0)
