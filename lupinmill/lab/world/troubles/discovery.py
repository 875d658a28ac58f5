"""Troubles of discovery: lists that fall behind, fall silent or cannot be reached."""

from __future__ import annotations

from lupinmill.lab.registry import Registry
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble


def list_late(world: World, trouble: Trouble) -> None:
    """News is `size` seconds later."""
    for registry in world.registries:
        registry.extra_delay_s += trouble.size
        world.timeline.after(trouble.lasts, catch_up, registry, trouble.size)


def catch_up(registry: Registry, seconds: float) -> None:
    """Ends what one trouble added to the delay."""
    registry.extra_delay_s = max(0.0, registry.extra_delay_s - seconds)


def list_silent(world: World, trouble: Trouble) -> None:
    """Calls and watches hear nothing."""
    go_down(world, trouble, True)


def list_down(world: World, trouble: Trouble) -> None:
    """Calls are refused and watches end."""
    go_down(world, trouble, False)


def go_down(world: World, trouble: Trouble, silently: bool) -> None:
    """All lists, for as long as the trouble lasts."""
    for registry in world.registries:
        registry.go_down(silently)
        world.timeline.after(trouble.lasts, registry.come_up)
