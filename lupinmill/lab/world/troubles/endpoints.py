"""Troubles of single endpoints: they die, hang, slow down, fail, pause, or are replaced by a deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.site import World
from lupinmill.lab.world.troubles.trouble import Trouble, batches, some_endpoints, tier_or_all


def crash(world: World, trouble: Trouble) -> None:
    """They crash, and restart cold."""
    for endpoint in some_endpoints(world, trouble):
        world.crash_endpoint(endpoint, False)
        world.timeline.after(trouble.lasts, world.restart_endpoint, endpoint)


def vanish(world: World, trouble: Trouble) -> None:
    """They stop answering, and restart cold."""
    for endpoint in some_endpoints(world, trouble):
        world.crash_endpoint(endpoint, True)
        world.timeline.after(trouble.lasts, world.restart_endpoint, endpoint)


def hang(world: World, trouble: Trouble) -> None:
    """They accept requests and process none."""
    for endpoint in some_endpoints(world, trouble):
        endpoint.hang(True)
        world.timeline.after(trouble.lasts, unless_restarted, endpoint, endpoint.epoch, endpoint.hang, False)


def unless_restarted(endpoint: Endpoint, epoch: int, act: Callable[..., None], *args: Any) -> None:
    """Calls `act` unless the endpoint has crashed since."""
    if endpoint.epoch == epoch:
        act(*args)


def slow(world: World, trouble: Trouble) -> None:
    """They are `size` times slower."""
    slow_down(world, trouble, some_endpoints(world, trouble))


def shared_slow(world: World, trouble: Trouble) -> None:
    """All are `size` times slower, as if a shared resource were overloaded."""
    slow_down(world, trouble, tier_or_all(world, trouble))


def slow_down(world: World, trouble: Trouble, endpoints: list[Endpoint]) -> None:
    """Slows these endpoints down for the duration of the trouble."""
    for endpoint in endpoints:
        endpoint.set_slowdown(trouble.name, trouble.size)
        world.timeline.after(trouble.lasts, endpoint.set_slowdown, trouble.name, 1.0)


def errors(world: World, trouble: Trouble) -> None:
    """The share `size` of requests fails immediately."""
    set_attribute(world, trouble, some_endpoints(world, trouble), "failing", min(1.0, trouble.size))


def spoilt(world: World, trouble: Trouble) -> None:
    """The share `size` of answers is unreadable."""
    set_attribute(world, trouble, some_endpoints(world, trouble), "spoiling", min(1.0, trouble.size))


def resets(world: World, trouble: Trouble) -> None:
    """The share `size` of requests ends with a connection reset."""
    set_attribute(world, trouble, some_endpoints(world, trouble), "resetting", min(1.0, trouble.size))


def reports_late(world: World, trouble: Trouble) -> None:
    """Load reports are `size` seconds older."""
    set_attribute(world, trouble, tier_or_all(world, trouble), "report_late", trouble.size)


def set_attribute(
    world: World, trouble: Trouble, endpoints: list[Endpoint], attribute: str, value: float
) -> None:
    """Sets one attribute of these endpoints for the duration of the trouble, and to 0 afterwards."""
    for endpoint in endpoints:
        setattr(endpoint, attribute, value)
        world.timeline.after(trouble.lasts, setattr, endpoint, attribute, 0.0)


def pauses(world: World, trouble: Trouble) -> None:
    """They pause for `size` milliseconds, about every `extra` seconds."""
    ends = world.timeline.now + int(trouble.lasts)
    for endpoint in some_endpoints(world, trouble):
        endpoint.pause(trouble.size / 1000, max(0.1, trouble.extra), ends, endpoint.epoch)


def neighbour(world: World, trouble: Trouble) -> None:
    """Other processes on the same machine take the share `size` of its cores, on and off for about `extra`
    seconds each."""
    ends = world.timeline.now + int(trouble.lasts)
    size, phase_s = min(0.95, trouble.size), max(0.2, trouble.extra)
    for endpoint in some_endpoints(world, trouble):
        toggle_neighbour(world, endpoint, trouble.stream, size, phase_s, ends, True)


def toggle_neighbour(
    world: World,
    endpoint: Endpoint,
    stream: np.random.Generator,
    size: float,
    phase_s: float,
    ends: int,
    on: bool,
) -> None:
    """Starts or ends one phase of a neighbour's load, and schedules the next."""
    now = world.timeline.now
    endpoint.set_stolen_share(size if on and now < ends else 0.0)
    if now < ends:
        until = min(ends, now + int(stream.uniform(0.5, 1.5) * phase_s * SECOND))
        world.timeline.at(until, toggle_neighbour, world, endpoint, stream, size, phase_s, ends, not on)


def deploy(world: World, trouble: Trouble) -> None:
    """The share `part` of the tier is replaced, in batches of the share `size`; `extra` is the drain time in
    seconds."""
    chosen = some_endpoints(world, trouble)
    order = [int(at) for at in trouble.stream.permutation(len(chosen))]
    groups = batches(order, max(1, round(trouble.size * len(world.tiers[trouble.tier]))))
    for number, members in enumerate(groups):
        span = trouble.lasts * number / len(groups)
        world.timeline.after(span, drain_all, world, [chosen[at] for at in members], max(0.1, trouble.extra))


def drain_all(world: World, endpoints: list[Endpoint], drain_s: float) -> None:
    """Drains these endpoints and replaces them after `drain_s` seconds."""
    for endpoint in endpoints:
        if endpoint.alive:
            world.drain(endpoint)
            world.timeline.after(drain_s * SECOND, world.replace_endpoint, endpoint)
