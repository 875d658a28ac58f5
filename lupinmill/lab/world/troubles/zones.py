"""Troubles of whole zones and of the ways between them."""

from __future__ import annotations

from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble

ONLY_OUT, ONLY_IN = 1, 2  # `extra` of `zone_apart`: the one direction that is cut


def zone_of(world: World, trouble: Trouble) -> str:
    """The zone that it names, else one drawn."""
    return trouble.event.zone or world.zones[int(trouble.stream.integers(len(world.zones)))]


def zone_cut(world: World, trouble: Trouble) -> None:
    """All endpoints of one zone fall silent and come back cold."""
    zone = zone_of(world, trouble)
    there = [e for tier in world.tiers for e in tier if e.shape.zone == zone and e.alive]
    for endpoint in there:
        world.die(endpoint, True)
        world.timeline.after(trouble.lasts, world.revive, endpoint)


def zone_apart(world: World, trouble: Trouble) -> None:
    """Nothing passes between one zone and the others; `extra` 1: nothing out of it, 2: nothing into it."""
    zone = zone_of(world, trouble)
    others = [other for other in world.zones if other != zone]
    out_of = [(zone, other) for other in others if trouble.extra != ONLY_IN]
    into = [(other, zone) for other in others if trouble.extra != ONLY_OUT]
    world.block(out_of + into, 1)
    world.timeline.after(trouble.lasts, world.block, out_of + into, -1)


def zone_slow(world: World, trouble: Trouble) -> None:
    """`part` of one zone's endpoints is `size` times slower, reached over `extra` seconds one by one; the
    list says that all is well."""
    zone = zone_of(world, trouble)
    there = [e for e in world.tiers[trouble.tier] if e.shape.zone == zone and e.alive]
    count = max(1, round(trouble.part * len(there)))
    chosen = [there[at] for at in trouble.stream.permutation(len(there))[:count]]
    for number, endpoint in enumerate(chosen):
        begins = trouble.extra * SECOND * number / len(chosen)
        world.timeline.after(begins, endpoint.slow_by, trouble.name, trouble.size)
        world.timeline.after(trouble.lasts, endpoint.slow_by, trouble.name, 1.0)


def zone_link(world: World, trouble: Trouble) -> None:
    """All ways to and from one zone take `size` times as long."""
    zone = zone_of(world, trouble)
    for other in world.zones:
        for way in ((zone, other), (other, zone)):
            world.network.slower[way] = trouble.size
            world.timeline.after(trouble.lasts, world.network.slower.pop, way, None)
