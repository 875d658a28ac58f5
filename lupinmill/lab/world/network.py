"""The network of the site: how long a message takes between zones, and which ways are cut."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scenario import Net
from lupinmill.lab.timeline import MS
from lupinmill.lab.world.random_streams import random_stream, draw


class Network:
    """Delays are in microseconds, one way. `chance` draws the means of the site; `seed` gives the delays."""

    def __init__(self, net: Net, seed: int, random_source: np.random.Generator) -> None:
        self.zones = net.zones
        self.regions = dict(zip(net.zones, net.regions or [""] * len(net.zones)))
        self.one_way = draw(random_source, net.same_ms) * MS
        self.cross_zone = draw(random_source, net.cross_ms) * MS
        self.client_delay = draw(random_source, net.client_ms) * MS
        self.jitter = draw(random_source, net.jitter)
        self.random_source = random_stream(seed, "net")
        self.blocked_links: dict[
            tuple[str, str], int
        ] = {}  # from zone, to zone: how many troubles block it now
        self.slowdowns: dict[tuple[str, str], float] = {}  # how many times longer a way between zones takes

    def delay(self, zone: str = "", other: str = "") -> float:
        """Microseconds that one message takes between two zones."""
        mean = self.one_way if zone == other else self.cross_zone * self.slowdowns.get((zone, other), 1.0)
        return mean * (1 + self.jitter * float(self.random_source.exponential(1.0)))

    def blocked(self, zone: str, other: str) -> bool:
        """Whether nothing passes that way now."""
        return self.blocked_links.get((zone, other), 0) > 0

    def block(self, links: list[tuple[str, str]], by: int) -> None:
        """Counts a cut of each of these ways up (1) or down (-1)."""
        for link in links:
            self.blocked_links[link] = self.blocked_links.get(link, 0) + by
