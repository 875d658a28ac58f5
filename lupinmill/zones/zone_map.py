"""The zones in their regions, the cost of sending a request from one to another, and the budgets of what may
leave a zone. Values without state."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32


class InvalidZoneMap(ValueError):
    """The text names the key."""


@dataclass(frozen=True, slots=True)
class Zone:
    name: str
    region: str = ""
    spare: float = 0.1  # share of its capacity that traffic from other zones may not use


@dataclass(frozen=True, slots=True)
class Workload:
    """A workload of higher `worth` gets capacity first. The budgets `leave_zone` and `leave_region` are
    shares of a zone's traffic of this workload; with `breaks` the traffic of a lost zone may exceed them."""

    name: str
    worth: float = 1.0
    leave_zone: float = 1.0
    leave_region: float = 1.0
    breaks: bool = False


@dataclass(frozen=True, slots=True)
class ZoneMap:
    zones: tuple[Zone, ...]
    workloads: tuple[Workload, ...]
    costs: dict[tuple[str, str], float] = field(default_factory=dict)  # per attempt; else `near` or `far`
    near: float = 1.0  # cost within a region
    far: float = 10.0

    def __post_init__(self) -> None:
        names = [zone.name for zone in self.zones]
        if not names or len(set(names)) < len(names):
            raise InvalidZoneMap("zones: at least one zone is required, and names must be unique")
        for zone in self.zones:
            if not 0 <= zone.spare < 1:
                raise InvalidZoneMap(f"zones.{zone.name}.spare: wants 0 up to 1")
        for workload in self.workloads:
            for key in ("leave_zone", "leave_region"):
                if not 0 <= getattr(workload, key) <= 1:
                    raise InvalidZoneMap(f"workloads.{workload.name}.{key}: wants 0 to 1")
            if workload.leave_region > workload.leave_zone:
                raise InvalidZoneMap(f"workloads.{workload.name}.leave_region: more than leave_zone")
        for origin, target in self.costs:
            if origin not in names or target not in names:
                raise InvalidZoneMap(f"costs.{origin}.{target}: no such zone")

    def zone(self, name: str) -> Zone:
        return next(zone for zone in self.zones if zone.name == name)

    def cost(self, origin: str, target: str) -> float:
        if origin == target:
            return 0.0
        configured = self.costs.get((origin, target), self.costs.get((target, origin)))
        if configured is not None:
            return configured
        return self.near if self.zone(origin).region == self.zone(target).region else self.far

    def order(self, origin: str) -> list[str]:
        """The other zones, nearest first, and of equal cost in the map's order. Zones in other regions come
        after all of the own region."""
        home = self.zone(origin).region
        others = [zone for zone in self.zones if zone.name != origin]
        return [
            zone.name for zone in sorted(others, key=lambda z: (z.region != home, self.cost(origin, z.name)))
        ]

    def checksum(self) -> int:
        """Checksum of the names and their order. Members send positions instead of names to each other; where
        their checksums differ, so do their configurations."""
        names = [zone.name for zone in self.zones] + ["/"] + [w.name for w in self.workloads]
        return crc32("\n".join(names).encode())

    def by_worth(self) -> list[Workload]:
        return sorted(self.workloads, key=lambda workload: -workload.worth)
