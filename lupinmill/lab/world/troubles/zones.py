"""Troubles of whole zones and of the links between them."""

from __future__ import annotations

from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble

ONLY_OUT, ONLY_IN = 1, 2  # `extra` of `zone_apart`: the one direction that is cut


def zone_of(world: World, trouble: Trouble) -> str:
    """Returns the zone that the trouble names, or draws one."""
    return trouble.event.zone or world.zones[int(trouble.stream.integers(len(world.zones)))]


def zone_cut(world: World, trouble: Trouble) -> None:
    """All endpoints of one zone stop answering, and restart cold."""
    zone = zone_of(world, trouble)
    in_zone = [e for tier in world.tiers for e in tier if e.spec.zone == zone and e.alive]
    for endpoint in in_zone:
        world.crash_endpoint(endpoint, True)
        world.timeline.after(trouble.lasts, world.restart_endpoint, endpoint)


def zone_apart(world: World, trouble: Trouble) -> None:
    """Messages between one zone and the others are lost; `extra` 1: only those out of it, 2: only those into
    it."""
    zone = zone_of(world, trouble)
    others = [other for other in world.zones if other != zone]
    out_of = [(zone, other) for other in others if trouble.extra != ONLY_IN]
    into = [(other, zone) for other in others if trouble.extra != ONLY_OUT]
    world.block(out_of + into, 1)
    world.timeline.after(trouble.lasts, world.block, out_of + into, -1)


def zone_slow(world: World, trouble: Trouble) -> None:
    """The share `part` of one zone's endpoints becomes `size` times slower, one by one over `extra` seconds.
    Discovery goes on to list them as ready."""
    zone = zone_of(world, trouble)
    in_zone = [e for e in world.tiers[trouble.tier] if e.spec.zone == zone and e.alive]
    count = max(1, round(trouble.part * len(in_zone)))
    chosen = [in_zone[at] for at in trouble.stream.permutation(len(in_zone))[:count]]
    for number, endpoint in enumerate(chosen):
        begins = trouble.extra * SECOND * number / len(chosen)
        world.timeline.after(begins, endpoint.set_slowdown, trouble.name, trouble.size)
        world.timeline.after(trouble.lasts, endpoint.set_slowdown, trouble.name, 1.0)


def zone_link(world: World, trouble: Trouble) -> None:
    """The delay of all links to and from one zone is multiplied by `size`."""
    zone = zone_of(world, trouble)
    for other in world.zones:
        for link in ((zone, other), (other, zone)):
            world.network.slowdowns[link] = trouble.size
            world.timeline.after(trouble.lasts, world.network.slowdowns.pop, link, None)
