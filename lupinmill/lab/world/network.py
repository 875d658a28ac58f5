"""The network of the site: how long a message takes between zones, and which ways are cut."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scenario import Net
from lupinmill.lab.timeline import MS
from lupinmill.lab.world.chance import chance_for, draw


class Network:
    """Delays are in microseconds, one way. `chance` draws the means of the site; `seed` gives the delays."""

    def __init__(self, net: Net, seed: int, chance: np.random.Generator) -> None:
        self.zones = net.zones
        self.regions = dict(zip(net.zones, net.regions or [""] * len(net.zones)))
        self.one_way = draw(chance, net.same_ms) * MS
        self.cross = draw(chance, net.cross_ms) * MS
        self.client_way = draw(chance, net.client_ms) * MS
        self.jitter = draw(chance, net.jitter)
        self.chance = chance_for(seed, "net")
        self.cuts: dict[tuple[str, str], int] = {}  # from zone, to zone: how many troubles block it now
        self.slower: dict[tuple[str, str], float] = {}  # how many times longer a way between zones takes

    def delay(self, zone: str = "", other: str = "") -> float:
        """Microseconds that one message takes between two zones."""
        mean = self.one_way if zone == other else self.cross * self.slower.get((zone, other), 1.0)
        return mean * (1 + self.jitter * float(self.chance.exponential(1.0)))

    def blocked(self, zone: str, other: str) -> bool:
        """Whether nothing passes that way now."""
        return self.cuts.get((zone, other), 0) > 0

    def block(self, ways: list[tuple[str, str]], by: int) -> None:
        """Counts a cut of each of these ways up (1) or down (-1)."""
        for way in ways:
            self.cuts[way] = self.cuts.get(way, 0) + by
