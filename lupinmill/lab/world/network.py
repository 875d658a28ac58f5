"""The simulated network: message delays between zones, and links that are cut."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scenario import Net
from lupinmill.lab.timeline import MS
from lupinmill.lab.world.random_streams import draw, random_stream


class Network:
    """Delays are one-way, in microseconds. The mean delays are drawn from `random_source`; the delay of each
    message comes from a stream of its own, derived from `seed`."""

    def __init__(self, net: Net, seed: int, random_source: np.random.Generator) -> None:
        self.zones = net.zones
        self.regions = dict(zip(net.zones, net.regions or [""] * len(net.zones)))
        self.one_way = draw(random_source, net.same_ms) * MS
        self.cross_zone = draw(random_source, net.cross_ms) * MS
        self.client_delay = draw(random_source, net.client_ms) * MS
        self.jitter = draw(random_source, net.jitter)
        self.random_source = random_stream(seed, "net")
        # (from zone, to zone): number of troubles that block the link
        self.blocked_links: dict[tuple[str, str], int] = {}
        # (from zone, to zone): factor on the delay
        self.slowdowns: dict[tuple[str, str], float] = {}

    def delay(self, zone: str = "", other: str = "") -> float:
        """Draws the delay of one message between two zones, in microseconds."""
        mean = self.one_way if zone == other else self.cross_zone * self.slowdowns.get((zone, other), 1.0)
        return mean * (1 + self.jitter * float(self.random_source.exponential(1.0)))

    def blocked(self, zone: str, other: str) -> bool:
        """Returns whether messages from `zone` to `other` are lost."""
        return self.blocked_links.get((zone, other), 0) > 0

    def block(self, links: list[tuple[str, str]], by: int) -> None:
        """Adds (`by` 1) or removes (-1) one cut of each of these links."""
        for link in links:
            self.blocked_links[link] = self.blocked_links.get(link, 0) + by
