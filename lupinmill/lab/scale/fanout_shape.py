"""The fleet that configuration is measured with: its size, its entries, the changes of its day, and what
things cost that are told and not run. All drawn from a told chance."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from lupinmill.config.model import Entries, Key

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Costs:
    """Microseconds of the serial work of a relay or the source, and of a sidecar that takes a version."""

    call: int = 300  # to read a watch and let it wait
    reply: int = 300  # to write one
    replace: int = 20_000  # for a relay to take a version
    keep: int = 50_000  # for the source to have a version on its disk
    force: int = 5_000  # from offered to in force in a sidecar


@dataclass(frozen=True, slots=True)
class Shape:
    """The fleet. Times in microseconds."""

    sidecars: int = 20_000
    watching: int = 0  # of them, so many are there; 0: all
    services: int = 840
    zones: int = 20
    regions: int = 7
    relays: int = 50
    wait: int = 20 * SECOND  # of a sidecar's watch
    spread: int = 2 * SECOND  # of the fleet, until a relay tells its own
    most_watchers: int = 1_000
    calls_per_s: float = 200.0  # that a relay is told it takes after a restart
    near: int = 1_000  # each way: in a zone, ...
    region: int = 2_000  # ... between zones of a region, ...
    far: int = 40_000  # ... between regions
    down: int = 2 * SECOND  # a relay or the source restarts for so long

    @property
    def spread_ms(self) -> int:
        """As `RelayFile.spread_ms` says it of sidecars expected and calls a second."""
        return max(1, int(1000 * self.sidecars / self.relays / self.calls_per_s))

    def region_of(self, zone: int) -> int:
        return zone % self.regions

    def way(self, one: int, other: int) -> int:
        if one == other:
            return self.near
        return self.region if self.region_of(one) == self.region_of(other) else self.far


def scopes_of(shape: Shape, at: int) -> tuple[str, ...]:
    """What sidecar number `at` watches."""
    zone = at % shape.zones
    return (
        "fleet", f"region/r{shape.region_of(zone)}", f"zone/z{zone}",
        f"service/s{at * shape.services // shape.sidecars}", f"sidecar/m{at}",
    )  # fmt: skip


def settings(chance: random.Random) -> dict[str, Any]:
    """What a change of a service's settings tells: some 400 bytes."""
    return {
        "workloads": [
            {
                "name": name, "contract-time-s": chance.randint(100, 900) / 1000, "hard-limit-s": 1.5,
                "value": 2.0, "overdue-value": 0.25, "window-s": 5.0, "repeat": "repeatable", "group": "cell",
            }
            for name in ("view", "bid")
        ],
        "instances": 24,
    }  # fmt: skip


def member(at: int, chance: random.Random) -> dict[str, Any]:
    return {"address": f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}:{chance.randint(18_000, 18_999)}",
            "zone": f"z{at % 20}"}  # fmt: skip


def state(shape: Shape, chance: random.Random) -> Entries:
    """All entries of the target's fleet."""
    entries: Entries = {Key("fleet", "settings"): {"limits": {"most-launches": 4, "retry-after": True}}}
    zones = {f"z{zone}": {"region": f"r{shape.region_of(zone)}"} for zone in range(shape.zones)}
    entries[Key("fleet", "zones")] = {"map": zones}
    for zone in range(shape.zones):
        entries[Key(f"zone/z{zone}", "settings")] = {
            "limits": {"conn-idle-s": chance.randint(10_000, 60_000) / 1000}
        }
    for region in range(shape.regions):
        entries[Key(f"region/r{region}", "settings")] = {"instances": 100}
    for service in range(shape.services):
        entries[Key(f"service/s{service}", "settings")] = settings(chance)
    for at in range(shape.sidecars):
        service = at * shape.services // shape.sidecars
        entries[Key(f"service/s{service}", f"member/m{at}")] = member(at, chance)
    return entries


def change(shape: Shape, chance: random.Random) -> Entries:
    """One of the day's changes: most of one service, some of one sidecar, few of a zone, rare for all."""
    drawn = chance.random()
    if drawn < 0.70:
        return {Key(f"service/s{chance.randrange(shape.services)}", "settings"): settings(chance)}
    if drawn < 0.74:  # a machine restarted or replaced
        at = chance.randrange(shape.sidecars)
        return {Key(f"service/s{at * shape.services // shape.sidecars}", f"member/m{at}"): member(at, chance)}
    if drawn < 0.95:
        return {
            Key(f"sidecar/m{chance.randrange(shape.sidecars)}", "settings"): {
                "limits": {"connect-timeout-s": chance.randint(100, 900) / 1000}
            }
        }
    if drawn < 0.99:
        return {
            Key(f"zone/z{chance.randrange(shape.zones)}", "settings"): {
                "limits": {"conn-idle-s": chance.randint(10_000, 60_000) / 1000}
            }
        }
    if drawn < 0.998:
        return {
            Key(f"region/r{chance.randrange(shape.regions)}", "settings"): {
                "instances": chance.randint(50, 150)
            }
        }
    return {
        Key("fleet", "settings"): {"limits": {"most-launches": chance.randint(2, 4), "retry-after": True}}
    }
