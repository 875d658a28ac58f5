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
    there = [e for tier in world.tiers for e in tier if e.spec.zone == zone and e.alive]
    for endpoint in there:
        world.crash_endpoint(endpoint, True)
        world.timeline.after(trouble.lasts, world.restart_endpoint, endpoint)


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
    there = [e for e in world.tiers[trouble.tier] if e.spec.zone == zone and e.alive]
    count = max(1, round(trouble.part * len(there)))
    chosen = [there[at] for at in trouble.stream.permutation(len(there))[:count]]
    for number, endpoint in enumerate(chosen):
        begins = trouble.extra * SECOND * number / len(chosen)
        world.timeline.after(begins, endpoint.set_slowdown, trouble.name, trouble.size)
        world.timeline.after(trouble.lasts, endpoint.set_slowdown, trouble.name, 1.0)


def zone_link(world: World, trouble: Trouble) -> None:
    """All ways to and from one zone take `size` times as long."""
    zone = zone_of(world, trouble)
    for other in world.zones:
        for link in ((zone, other), (other, zone)):
            world.network.slowdowns[link] = trouble.size
            world.timeline.after(trouble.lasts, world.network.slowdowns.pop, link, None)
