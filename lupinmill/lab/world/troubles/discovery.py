"""Troubles of discovery: registries that lag behind, stop answering or refuse connections."""

from __future__ import annotations

from lupinmill.lab.registry import Registry
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble


def list_late(world: World, trouble: Trouble) -> None:
    """Changes are published `size` seconds later."""
    for registry in world.registries:
        registry.extra_delay_s += trouble.size
        world.timeline.after(trouble.lasts, reduce_delay, registry, trouble.size)


def reduce_delay(registry: Registry, seconds: float) -> None:
    """Takes back the delay that one trouble added."""
    registry.extra_delay_s = max(0.0, registry.extra_delay_s - seconds)


def list_silent(world: World, trouble: Trouble) -> None:
    """Calls and watches get no answer."""
    go_down(world, trouble, True)


def list_down(world: World, trouble: Trouble) -> None:
    """Calls are refused and watches are closed."""
    go_down(world, trouble, False)


def go_down(world: World, trouble: Trouble, silently: bool) -> None:
    """Takes all registries down for the duration of the trouble."""
    for registry in world.registries:
        registry.go_down(silently)
        world.timeline.after(trouble.lasts, registry.come_up)
